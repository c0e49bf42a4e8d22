package template

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strings"
	"unique"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// compactTenant is a Tenant as the indexes keep it: slices in place of maps,
// keys as raw sums, and names that many tenants share in memory once. A fleet
// has 45,000 of them on every node.
type compactTenant struct {
	name       id.Tenant
	keys       []string // raw SHA-256
	allowances []allowance
	models     []id.Model
	priority   int
	budget     Budget
	prices     []modelPrice
	retryShare float64
	version    uint64
}

type modelPrice struct {
	model id.Model
	price float64 // of a million tokens
}

// allowance is one template that a tenant may use, with its parameters.
type allowance struct {
	template id.Template
	values   []parameterValue
}

type parameterValue struct{ name, value string }

// shared returns a text that equals s and is in memory once for all tenants.
func shared(s string) string { return unique.Make(s).Value() }

func compact(t *Tenant, version uint64) *compactTenant {
	c := &compactTenant{
		name: id.Tenant(strings.Clone(string(t.Name))), priority: t.Priority, budget: t.Budget,
		retryShare: t.RetryShare, version: version,
	}
	for _, hash := range t.KeyHashes {
		c.keys = append(c.keys, rawKey(hash))
	}
	for _, model := range t.Models {
		c.models = append(c.models, id.Model(shared(string(model))))
	}
	for model, price := range t.Prices {
		c.prices = append(c.prices, modelPrice{id.Model(shared(string(model))), price})
	}
	if len(t.Templates) > 0 {
		c.allowances = make([]allowance, 0, len(t.Templates))
	}
	for name, parameters := range t.Templates {
		c.allowances = append(c.allowances, allowance{id.Template(shared(string(name))), compactValues(parameters)})
	}
	slices.SortFunc(c.allowances, func(a, b allowance) int { return cmp.Compare(a.template, b.template) })
	return c
}

func compactValues(parameters map[string]string) []parameterValue {
	if len(parameters) == 0 {
		return nil
	}
	values := make([]parameterValue, 0, len(parameters))
	for name, value := range parameters {
		values = append(values, parameterValue{shared(name), strings.Clone(value)})
	}
	return values
}

// expand returns a copy of the tenant in the form that operators know.
func (c *compactTenant) expand() *Tenant {
	t := &Tenant{
		Name: c.name, Priority: c.priority, Budget: c.budget, Models: slices.Clone(c.models),
		RetryShare: c.retryShare, Version: c.version,
	}
	for _, key := range c.keys {
		t.KeyHashes = append(t.KeyHashes, hex.EncodeToString([]byte(key)))
	}
	if len(c.prices) > 0 {
		t.Prices = make(map[id.Model]float64, len(c.prices))
	}
	for _, p := range c.prices {
		t.Prices[p.model] = p.price
	}
	if len(c.allowances) > 0 {
		t.Templates = make(map[id.Template]map[string]string, len(c.allowances))
	}
	for _, allowed := range c.allowances {
		values := make(map[string]string, len(allowed.values))
		for _, v := range allowed.values {
			values[v.name] = v.value
		}
		t.Templates[allowed.template] = values
	}
	return t
}

// allowance finds what the tenant may do with a template.
func (c *compactTenant) allowance(name id.Template) (allowance, bool) {
	for _, allowed := range c.allowances {
		if allowed.template == name {
			return allowed, true
		}
	}
	return allowance{}, false
}

// value finds the operator's value of a parameter.
func (a allowance) value(name string) (string, bool) {
	for _, v := range a.values {
		if v.name == name {
			return v.value, true
		}
	}
	return "", false
}

// rawKey turns the hex SHA-256 of a key into the sum itself. A text that is no
// sum, which validation refuses, becomes a key that no caller's key has.
func rawKey(hash string) string {
	sum, err := hex.DecodeString(hash)
	if err != nil {
		return hash
	}
	return string(sum)
}
