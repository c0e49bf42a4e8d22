package template

import (
	"fmt"

	"github.com/cloverwheel/cloverwheel/internal/strictyaml"
)

// Kind is the value of the key "kind" that opens every operators' document.
type Kind string

// The kinds of documents.
const (
	TemplateKind Kind = "template"
	TenantKind   Kind = "tenant"
)

// KindKey is the top-level key that tells documents apart.
const KindKey = "kind"

type templateDocument struct {
	Kind     Kind `yaml:"kind"`
	Template `yaml:",inline"`
}

type tenantDocument struct {
	Kind   Kind `yaml:"kind"`
	Tenant `yaml:",inline"`
}

// Parse reads any number of template and tenant documents, in YAML or JSON, and
// checks each by itself. file is used in problems only.
func Parse(file string, data []byte) (Change, strictyaml.Problems) {
	documents, problems := strictyaml.Parse(file, data)
	var change Change
	for _, document := range documents {
		problems = append(problems, parseDocument(document, &change)...)
	}
	if len(documents) == 0 && len(problems) == 0 {
		problems = append(problems, strictyaml.Problem{File: file, What: "is empty", Remedy: "write a template or a tenant"})
	}
	return change, problems
}

func parseDocument(document strictyaml.Document, change *Change) strictyaml.Problems {
	switch kind := Kind(document.Text(KindKey)); kind {
	case TemplateKind:
		var parsed templateDocument
		if problems := document.Decode(&parsed); len(problems) > 0 {
			return problems
		}
		change.PutTemplates = append(change.PutTemplates, &parsed.Template)
		return document.Locate(parsed.Template.Validate())
	case TenantKind:
		var parsed tenantDocument
		if problems := document.Decode(&parsed); len(problems) > 0 {
			return problems
		}
		change.PutTenants = append(change.PutTenants, &parsed.Tenant)
		return document.Locate(parsed.Tenant.Validate())
	default:
		what := "is not given"
		if kind != "" {
			what = fmt.Sprintf("%q is unknown", kind)
		}
		return document.Locate(strictyaml.Problems{{Field: KindKey, What: what, Remedy: "give one of template, tenant"}})
	}
}
