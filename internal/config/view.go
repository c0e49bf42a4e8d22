package config

import "github.com/cloverwheel/cloverwheel/internal/template"

// Source is what the rest of a node needs of the configuration.
type Source interface {
	// Current returns the version in force here; it is never replaced by a lower
	// one and never nil.
	Current() *template.Configuration
	// Fresh returns nil while this node may start new calls, and otherwise
	// fault.StaleConfiguration with RanNo.
	Fresh() error
}
