package tenant

import "flag"

// The property tests draw the same values in every run; -rapid.seed overrides the seed.
func init() { _ = flag.Set("rapid.seed", "1") }
