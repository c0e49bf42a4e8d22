package template

import (
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Change turns one version of a configuration into the next.
type Change struct {
	PutTemplates    []*Template
	PutTenants      []*Tenant
	RemoveTemplates []id.Template
	RemoveTenants   []id.Tenant
}

// Empty reports whether the change would change nothing.
func (c Change) Empty() bool {
	return len(c.PutTemplates)+len(c.PutTenants)+len(c.RemoveTemplates)+len(c.RemoveTenants) == 0
}

// With returns the configuration at version after change; c stays as it is.
// What the change does not touch is shared between the two. Objects put in are
// copied and stamped with the version.
func (c *Configuration) With(version uint64, change Change) *Configuration {
	next := &Configuration{Version: version, indexes: *c.indexed()}
	next.once.Do(func() {}) // the indexes are complete
	for _, name := range change.RemoveTemplates {
		next.indexes.templates = next.indexes.templates.without(string(name))
	}
	for _, name := range change.RemoveTenants {
		next.removeTenant(string(name))
	}
	for _, template := range change.PutTemplates {
		stamped := *template
		stamped.Version = version
		next.indexes.templates = next.indexes.templates.with(string(template.Name), &stamped)
	}
	for _, tenant := range change.PutTenants {
		next.putTenant(compact(tenant, version))
	}
	return next
}

// Build makes a configuration out of all its objects, whose versions are kept.
func Build(version uint64, all Change) *Configuration {
	built := &Configuration{Version: version}
	built.once.Do(func() {}) // the indexes are filled below
	for _, template := range all.PutTemplates {
		built.indexes.templates.put(string(template.Name), template)
	}
	for _, tenant := range all.PutTenants {
		built.indexes.insert(tenant)
	}
	return built
}

func (c *Configuration) putTenant(tenant *compactTenant) {
	c.removeTenant(string(tenant.name))
	c.indexes.tenants = c.indexes.tenants.with(string(tenant.name), tenant)
	for _, key := range tenant.keys {
		c.indexes.keys = c.indexes.keys.with(key, tenant)
	}
}

func (c *Configuration) removeTenant(name string) {
	old, ok := c.indexes.tenants.get(name)
	if !ok {
		return
	}
	c.indexes.tenants = c.indexes.tenants.without(name)
	for _, key := range old.keys {
		c.indexes.keys = c.indexes.keys.without(key)
	}
}

// All returns every object; Build makes the same configuration out of it.
func (c *Configuration) All() Change {
	var change Change
	for template := range c.AllTemplates() {
		change.PutTemplates = append(change.PutTemplates, template)
	}
	for tenant := range c.AllTenants() {
		change.PutTenants = append(change.PutTenants, tenant)
	}
	return change
}
