// Package examples embeds the example settings, templates, tenants and demo
// workload, so that the demo needs no files.
package examples

import "embed"

// Files holds all example files.
//
//go:embed *.yaml workloads/*.yaml
var Files embed.FS
