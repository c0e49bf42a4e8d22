package template

import (
	"regexp"
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// defaultRetryShare applies where a tenant is silent.
const defaultRetryShare = 0.1

var placeholder = regexp.MustCompile(`\$\{([A-Za-z0-9_-]+)\}`)

// Resolve returns a template as a tenant's program with these parameters sees
// it. It fails with fault.NotFound for a template that the tenant may not use
// and with fault.Invalid for wrong parameters. An operator's parameter for the
// tenant cannot be changed by a program. The tenant's priority, where it is not
// zero, goes before the template's.
func (c *Configuration) Resolve(tenantName id.Tenant, templateName id.Template, parameters map[string]string) (*Effective, error) {
	tenant, ok := c.indexed().tenants.get(string(tenantName))
	if !ok {
		return nil, fault.Newf(fault.NotFound, "ask the operators to create the tenant", "there is no tenant %q", tenantName)
	}
	fixed, allowed := tenant.allowance(templateName)
	template, exists := c.Template(templateName)
	if !allowed || !exists {
		return nil, fault.Newf(fault.NotFound, "use one of the tenant's templates or ask the operators to allow it",
			"tenant %q has no template %q", tenantName, templateName)
	}
	models := narrow(template.Models, tenant.models)
	if len(models) == 0 {
		return nil, fault.Newf(fault.ModelForbidden, "ask the operators to allow a model",
			"tenant %q may use no model of template %q", tenantName, templateName)
	}
	values, err := template.fill(fixed, parameters)
	if err != nil {
		return nil, err
	}
	return &Effective{
		Version:      c.Version,
		Template:     templateName,
		Tenant:       tenantName,
		SystemPrompt: render(template.SystemPrompt, values),
		Models:       models,
		Adapters:     template.Adapters,
		Priority:     firstNonZero(tenant.priority, template.Priority),
		Limits:       template.Limits.filled(),
		Tools:        template.Tools,
		Budget:       tenant.effectiveBudget(),
		RetryShare:   firstNonZero(tenant.retryShare, defaultRetryShare),
	}, nil
}

// fill joins defaults, the operator's values for the tenant and the program's.
func (t *Template) fill(fixed allowance, given map[string]string) (map[string]string, error) {
	for name := range given {
		if _, ok := t.parameter(name); !ok {
			return nil, fault.Newf(fault.Invalid, "remove it", "parameters.%s: template %q has no such parameter", name, t.Name)
		}
	}
	values := make(map[string]string, len(t.Parameters))
	for _, parameter := range t.Parameters {
		value, err := t.valueOf(parameter, fixed, given)
		if err != nil {
			return nil, err
		}
		values[parameter.Name] = value
	}
	return values, nil
}

func (t *Template) valueOf(parameter Parameter, fixed allowance, given map[string]string) (string, error) {
	operators, isFixed := fixed.value(parameter.Name)
	programs, isGiven := given[parameter.Name]
	if isFixed && isGiven && operators != programs {
		return "", fault.Newf(fault.Invalid, "leave it out", "parameters.%s: is set by the operators", parameter.Name)
	}
	if isFixed {
		return operators, nil
	}
	if !isGiven && parameter.Required && parameter.Default == "" {
		return "", fault.Newf(fault.Invalid, "give a "+string(parameter.Type), "parameters.%s: is required by template %q", parameter.Name, t.Name)
	}
	if !isGiven {
		return parameter.Default, nil
	}
	if wrong := parameter.check(programs); wrong != "" {
		return "", fault.Newf(fault.Invalid, "give a "+string(parameter.Type), "parameters.%s: %s", parameter.Name, wrong)
	}
	return programs, nil
}

// filled returns the limits with defaults in place of zeros.
func (l Limits) filled() Limits {
	return Limits{
		Turns:           firstNonZero(l.Turns, DefaultLimits.Turns),
		Tokens:          firstNonZero(l.Tokens, DefaultLimits.Tokens),
		MaxOutputTokens: firstNonZero(l.MaxOutputTokens, DefaultLimits.MaxOutputTokens),
		Idle:            firstNonZero(l.Idle, DefaultLimits.Idle),
		Deadline:        firstNonZero(l.Deadline, DefaultLimits.Deadline),
		SubAgents:       firstNonZero(l.SubAgents, DefaultLimits.SubAgents),
		Concurrency:     firstNonZero(l.Concurrency, DefaultLimits.Concurrency),
		CallsPerSecond:  firstNonZero(l.CallsPerSecond, DefaultLimits.CallsPerSecond),
		Attempts:        firstNonZero(l.Attempts, DefaultLimits.Attempts),
	}
}

// narrow keeps the template's models that the tenant allows, in the template's order.
func narrow(models, allowed []id.Model) []id.Model {
	if len(allowed) == 0 {
		return models
	}
	var kept []id.Model
	for _, model := range models {
		if slices.Contains(allowed, model) {
			kept = append(kept, model)
		}
	}
	return kept
}

func render(prompt string, values map[string]string) string {
	return placeholder.ReplaceAllStringFunc(prompt, func(found string) string {
		return values[placeholder.FindStringSubmatch(found)[1]]
	})
}

// placeholders lists the parameters that a prompt uses.
func placeholders(prompt string) []string {
	var names []string
	for _, match := range placeholder.FindAllStringSubmatch(prompt, -1) {
		names = append(names, match[1])
	}
	return names
}

func firstNonZero[T comparable](values ...T) T {
	var zero T
	for _, value := range values {
		if value != zero {
			return value
		}
	}
	return zero
}
