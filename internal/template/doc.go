// Package template defines what operators tune: templates, tenants and the
// versioned, immutable configuration that holds them. It loads them from YAML
// or JSON, validates them before acceptance, makes the next version from a
// change, and resolves what one tenant's program may do.
package template
