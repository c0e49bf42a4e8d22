package template

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/strictyaml"
)

const hashBytes = 32

// Validate checks a template by itself.
func (t *Template) Validate() strictyaml.Problems {
	problems := strictyaml.Check(t)
	known := map[string]bool{}
	for i, parameter := range t.Parameters {
		field := fmt.Sprintf("parameters[%d]", i)
		if known[parameter.Name] {
			problems = append(problems, problem(field+".name", "keep one of the two", "parameter %q is declared twice", parameter.Name))
		}
		known[parameter.Name] = true
		if parameter.Default == "" {
			continue
		}
		if err := parameter.check(parameter.Default); err != "" {
			problems = append(problems, problem(field+".default", "give a "+string(parameter.Type), "%s", err))
		}
	}
	for _, name := range placeholders(t.SystemPrompt) {
		if !known[name] {
			problems = append(problems, problem("system_prompt", "declare it under parameters", "uses ${%s}, which is not a parameter", name))
		}
	}
	tools := map[string]bool{}
	for i, tool := range t.Tools {
		if tools[tool.Name] {
			problems = append(problems, problem(fmt.Sprintf("tools[%d].name", i), "rename one of the two", "tool %q is declared twice", tool.Name))
		}
		tools[tool.Name] = true
	}
	return problems
}

// Validate checks a tenant by itself.
func (t *Tenant) Validate() strictyaml.Problems {
	problems := strictyaml.Check(t)
	for i, hash := range t.KeyHashes {
		if decoded, err := hex.DecodeString(hash); err != nil || len(decoded) != hashBytes || hash != strings.ToLower(hash) {
			problems = append(problems, problem(fmt.Sprintf("key_hashes[%d]", i),
				"give the SHA-256 of the caller's key in lower-case hex (printf %s KEY | sha256sum)", "is not a SHA-256"))
		}
	}
	if t.Budget.Tokens == 0 && t.Budget.Money == 0 && t.Budget.Period > 0 {
		problems = append(problems, problem("budget.tokens", "give the tokens or the money per period", "is not given although a period is"))
	}
	return problems
}

// ValidateChange checks a change against the configuration that it would make.
func (c *Configuration) ValidateChange(change Change) strictyaml.Problems {
	var problems strictyaml.Problems
	for _, template := range change.PutTemplates {
		problems = append(problems, prefixed("template "+string(template.Name), template.Validate())...)
	}
	for _, tenant := range change.PutTenants {
		problems = append(problems, prefixed("tenant "+string(tenant.Name), tenant.Validate())...)
	}
	if len(problems) > 0 {
		return problems
	}
	next := c.With(c.Version+1, change)
	for _, tenant := range change.PutTenants {
		problems = append(problems, prefixed("tenant "+string(tenant.Name), next.checkTenant(tenant))...)
		problems = append(problems, prefixed("tenant "+string(tenant.Name), next.checkKeys(c, tenant))...)
	}
	if len(change.PutTemplates)+len(change.RemoveTemplates) > 0 {
		problems = append(problems, next.checkUsers(change)...)
	}
	return problems
}

// checkUsers checks the tenants that use a template which the change touches.
func (c *Configuration) checkUsers(change Change) strictyaml.Problems {
	var touched []id.Template
	for _, template := range change.PutTemplates {
		touched = append(touched, template.Name)
	}
	touched = append(touched, change.RemoveTemplates...)
	var problems strictyaml.Problems
	for _, tenant := range c.indexed().tenants.all() {
		for _, name := range touched {
			if _, uses := tenant.allowance(name); uses {
				problems = append(problems, prefixed("tenant "+string(tenant.name), c.checkUse(tenant.expand(), name))...)
			}
		}
	}
	return problems
}

// checkTenant checks every template that a tenant names.
func (c *Configuration) checkTenant(tenant *Tenant) strictyaml.Problems {
	var problems strictyaml.Problems
	for name := range tenant.Templates {
		problems = append(problems, c.checkUse(tenant, name)...)
	}
	return problems
}

func (c *Configuration) checkUse(tenant *Tenant, name id.Template) strictyaml.Problems {
	field := "templates." + string(name)
	template, ok := c.Template(name)
	if !ok {
		return strictyaml.Problems{problem(field, "apply the template first or remove it here", "there is no such template")}
	}
	var problems strictyaml.Problems
	for key, value := range tenant.Templates[name] {
		parameter, ok := template.parameter(key)
		if !ok {
			problems = append(problems, problem(field+"."+key, "remove it or declare it in the template", "the template has no such parameter"))
			continue
		}
		if err := parameter.check(value); err != "" {
			problems = append(problems, problem(field+"."+key, "give a "+string(parameter.Type), "%s", err))
		}
	}
	models := narrow(template.Models, tenant.Models)
	for _, model := range models {
		if _, priced := tenant.Prices[model]; tenant.Budget.Money > 0 && !priced {
			problems = append(problems, problem("prices."+string(model), "set the price of a million tokens", "is not given although the budget is in money"))
		}
	}
	if len(models) == 0 {
		problems = append(problems, problem("models", "name at least one of "+join(template.Models), "leaves template %s no model", name))
	}
	return problems
}

// checkKeys refuses a caller key that another tenant has, before the change or
// by it; c is the configuration that the change makes out of old.
func (c *Configuration) checkKeys(old *Configuration, tenant *Tenant) strictyaml.Problems {
	var problems strictyaml.Problems
	for i, hash := range tenant.KeyHashes {
		repeated := slices.Contains(tenant.KeyHashes[:i], hash)
		if repeated || c.otherHolds(c, tenant, hash) || c.otherHolds(old, tenant, hash) {
			problems = append(problems, problem(fmt.Sprintf("key_hashes[%d]", i), "make a new key", "is already in use"))
		}
	}
	return problems
}

// otherHolds reports whether the holder of a key by the index of source is not
// tenant and still has the key in c.
func (c *Configuration) otherHolds(source *Configuration, tenant *Tenant, hash string) bool {
	holder, ok := source.indexed().keys.get(rawKey(hash))
	if !ok || holder.name == tenant.Name {
		return false
	}
	present, ok := c.indexed().tenants.get(string(holder.name))
	return ok && slices.Contains(present.keys, rawKey(hash))
}

func (t *Template) parameter(name string) (Parameter, bool) {
	for _, parameter := range t.Parameters {
		if parameter.Name == name {
			return parameter, true
		}
	}
	return Parameter{}, false
}

// check returns what is wrong with a value, or "".
func (p Parameter) check(value string) string {
	var err error
	switch p.Type {
	case NumberParameter:
		_, err = strconv.ParseFloat(value, 64)
	case BoolParameter:
		_, err = strconv.ParseBool(value)
	}
	if err != nil {
		return fmt.Sprintf("%q is not a %s", value, p.Type)
	}
	return ""
}

func problem(field, remedy, format string, arguments ...any) strictyaml.Problem {
	return strictyaml.Problem{Field: field, What: fmt.Sprintf(format, arguments...), Remedy: remedy}
}

func prefixed(prefix string, problems strictyaml.Problems) strictyaml.Problems {
	for i := range problems {
		problems[i].Field = prefix + ": " + problems[i].Field
	}
	return problems
}

func join[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}
