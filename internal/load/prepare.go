package load

import (
	"bytes"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// templateDocument and tenantDocument are what operators would write.
type templateDocument struct {
	Kind              template.Kind `yaml:"kind"`
	template.Template `yaml:",inline"`
}

type tenantDocument struct {
	Kind            template.Kind `yaml:"kind"`
	template.Tenant `yaml:",inline"`
}

// loadBudget is ample, so that budgets don't decide an experiment.
var loadBudget = template.Budget{Tokens: 1 << 40}

// Configuration returns the YAML documents of a workload's templates and
// tenants, ready to be applied, and the caller key of each tenant. All
// templates use one model.
func Configuration(spec *workload.Spec, model id.Model) (document []byte, keys map[id.Tenant]string, err error) {
	var joined bytes.Buffer
	add := func(value any) {
		encoded, encodeErr := yaml.Marshal(value)
		if err == nil {
			err = encodeErr
		}
		if joined.Len() > 0 {
			joined.WriteString("---\n")
		}
		joined.Write(encoded)
	}
	for _, described := range spec.Templates {
		add(templateDocument{Kind: template.TemplateKind, Template: template.Template{Name: described.Name, Models: []id.Model{model}, Limits: loadLimits()}})
	}
	keys = map[id.Tenant]string{}
	for _, described := range spec.Tenants {
		keys[described.Name] = "load-key-of-" + string(described.Name)
		add(tenantDocument{Kind: template.TenantKind, Tenant: template.Tenant{
			Name:      described.Name,
			KeyHashes: []string{template.HashKey(keys[described.Name])},
			Priority:  described.Priority,
			Budget:    loadBudget,
			Templates: templatesOf(spec, described.Name),
		}})
	}
	return joined.Bytes(), keys, eris.Wrap(err, "encode the workload's configuration")
}

// loadLimits are wide enough for every workload.
func loadLimits() template.Limits {
	limits := template.DefaultLimits
	limits.Turns, limits.MaxOutputTokens = 1000, 8192
	limits.Concurrency, limits.CallsPerSecond, limits.SubAgents = 10_000, 10_000, 64
	return limits
}

// templatesOf lists the templates of a tenant's programs and sub-agents.
func templatesOf(spec *workload.Spec, tenant id.Tenant) map[id.Template]map[string]string {
	allowed := map[id.Template]map[string]string{}
	for _, arrival := range spec.Arrivals {
		if arrival.Tenant != tenant {
			continue
		}
		allowed[arrival.Template] = map[string]string{}
		position := slices.IndexFunc(spec.Templates, func(t workload.Template) bool { return t.Name == arrival.Template })
		if nested := spec.Templates[position].SubAgents; nested.Chance > 0 {
			allowed[nested.Template] = map[string]string{}
		}
	}
	return allowed
}
