package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// TemplateObject names a template in differences and rollbacks.
func TemplateObject(name id.Template) string { return "template " + string(name) }

// TenantObject names a tenant in differences and rollbacks.
func TenantObject(name id.Tenant) string { return "tenant " + string(name) }

func touchedTemplates(change template.Change) []id.Template {
	names := slices.Clone(change.RemoveTemplates)
	for _, put := range change.PutTemplates {
		names = append(names, put.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func touchedTenants(change template.Change) []id.Tenant {
	names := slices.Clone(change.RemoveTenants)
	for _, put := range change.PutTenants {
		names = append(names, put.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func touchedObjects(change template.Change) []string {
	var objects []string
	for _, name := range touchedTemplates(change) {
		objects = append(objects, TemplateObject(name))
	}
	for _, name := range touchedTenants(change) {
		objects = append(objects, TenantObject(name))
	}
	return objects
}

func joined(a, b template.Change) template.Change {
	return template.Change{
		PutTemplates:    append(a.PutTemplates, b.PutTemplates...),
		PutTenants:      append(a.PutTenants, b.PutTenants...),
		RemoveTemplates: append(a.RemoveTemplates, b.RemoveTemplates...),
		RemoveTenants:   append(a.RemoveTenants, b.RemoveTenants...),
	}
}

func limited(change template.Change, objects []string) template.Change {
	if len(objects) == 0 {
		return change
	}
	outside := func(object string) bool { return !slices.Contains(objects, object) }
	change.PutTemplates = slices.DeleteFunc(change.PutTemplates, func(t *template.Template) bool { return outside(TemplateObject(t.Name)) })
	change.PutTenants = slices.DeleteFunc(change.PutTenants, func(t *template.Tenant) bool { return outside(TenantObject(t.Name)) })
	change.RemoveTemplates = slices.DeleteFunc(change.RemoveTemplates, func(n id.Template) bool { return outside(TemplateObject(n)) })
	change.RemoveTenants = slices.DeleteFunc(change.RemoveTenants, func(n id.Tenant) bool { return outside(TenantObject(n)) })
	return change
}

// differences compares the objects that a change touches in two configurations.
func differences(before, after *template.Configuration, change template.Change) []FieldDiff {
	var differs []FieldDiff
	for _, name := range touchedTemplates(change) {
		old, _ := before.Template(name)
		present, _ := after.Template(name)
		differs = append(differs, compare(TemplateObject(name), flatten(old), flatten(present))...)
	}
	for _, name := range touchedTenants(change) {
		old, _ := before.Tenant(name)
		present, _ := after.Tenant(name)
		differs = append(differs, compare(TenantObject(name), flatten(old), flatten(present))...)
	}
	return differs
}

func compare(object string, before, after map[string]string) []FieldDiff {
	fields := make([]string, 0, len(before)+len(after))
	for field := range before {
		fields = append(fields, field)
	}
	for field := range after {
		fields = append(fields, field)
	}
	slices.Sort(fields)
	var differs []FieldDiff
	for _, field := range slices.Compact(fields) {
		if before[field] != after[field] {
			differs = append(differs, FieldDiff{Object: object, Field: field, Before: before[field], After: after[field]})
		}
	}
	return differs
}

// flatten returns an object's fields by path, as operators write them in YAML
// and with values as JSON. The version stamp is not among them.
func flatten(object any) map[string]string {
	fields := map[string]string{}
	encoded, err := yaml.Marshal(object)
	if err != nil {
		return fields
	}
	var decoded any
	if yaml.Unmarshal(encoded, &decoded) == nil {
		flattenInto(fields, "", decoded)
	}
	return fields
}

func flattenInto(fields map[string]string, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for key, child := range typed {
			flattenInto(fields, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		for i, child := range typed {
			flattenInto(fields, fmt.Sprintf("%s[%d]", path, i), child)
		}
	case nil:
	default:
		encoded, _ := json.Marshal(typed)
		fields[path] = string(encoded)
	}
}
