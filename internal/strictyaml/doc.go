// Package strictyaml decodes YAML documents without tolerance: unknown keys,
// wrong types and broken rules become problems that name file, line, field and
// remedy.
package strictyaml
