package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
)

const operatorPath = "/v1/operator"

// Change says how templates and tenants are to be changed.
type Change struct {
	// Base is the version that the change was made on. Zero: the change may only
	// create. config.AnyBase: change whatever is present.
	Base    uint64
	ID      string // makes the change repeatable; empty: chosen here
	Author  string
	Message string
	DryRun  bool // validate and show the difference only
}

func (c Change) apply(request send) send {
	request.query = url.Values{"author": {c.Author}, "message": {c.Message}, "dry_run": {strconv.FormatBool(c.DryRun)}}
	return c.head(request)
}

func (c Change) head(request send) send {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	match := `"` + strconv.FormatUint(c.Base, 10) + `"`
	switch c.Base {
	case 0:
		match = ""
	case config.AnyBase:
		match = "*"
	}
	return request.with(wire.HeaderKey, c.ID).with(wire.HeaderIfMatch, match)
}

// Apply accepts the templates and tenants of a YAML document. It fails with
// fault.Conflict when it lost a race; config.ConflictOf tells the difference.
func (c *Client) Apply(ctx context.Context, document []byte, change Change) (config.ApplyResult, error) {
	request := send{method: http.MethodPost, path: operatorPath + "/configuration", body: document}
	return read[config.ApplyResult](ctx, c, change.apply(request.with("Content-Type", wire.MediaYAML)))
}

// RemoveTemplate takes a template out of the configuration.
func (c *Client) RemoveTemplate(ctx context.Context, name string, change Change) (config.ApplyResult, error) {
	request := send{method: http.MethodDelete, path: operatorPath + "/templates/" + url.PathEscape(name)}
	return read[config.ApplyResult](ctx, c, change.apply(request))
}

// RemoveTenant takes a tenant out of the configuration.
func (c *Client) RemoveTenant(ctx context.Context, name string, change Change) (config.ApplyResult, error) {
	request := send{method: http.MethodDelete, path: operatorPath + "/tenants/" + url.PathEscape(name)}
	return read[config.ApplyResult](ctx, c, change.apply(request))
}

// Rollback makes a new version that looks like version to, or whose objects do.
func (c *Client) Rollback(ctx context.Context, to uint64, objects []string, change Change) (config.ApplyResult, error) {
	request, err := jsonSend(http.MethodPost, operatorPath+"/configuration/rollback", wire.Rollback{
		To: to, Objects: objects, Author: change.Author, Message: change.Message, DryRun: change.DryRun,
	})
	if err != nil {
		return config.ApplyResult{}, err
	}
	return read[config.ApplyResult](ctx, c, change.head(request))
}

// History lists accepted versions, latest first, of one object ("template NAME"
// or "tenant NAME") or of all for an empty one.
func (c *Client) History(ctx context.Context, object string, limit int) (wire.History, error) {
	return read[wire.History](ctx, c, send{method: http.MethodGet, path: operatorPath + "/configuration/history", query: url.Values{
		"object": {object}, "limit": {strconv.Itoa(limit)},
	}})
}

// Diff compares two accepted versions; to may be zero for the present one.
func (c *Client) Diff(ctx context.Context, from, to uint64) (config.Diff, error) {
	return read[config.Diff](ctx, c, send{method: http.MethodGet, path: operatorPath + "/configuration/diff", query: url.Values{
		"from": {strconv.FormatUint(from, 10)}, "to": {strconv.FormatUint(to, 10)},
	}})
}

// ConfigurationStatus says which version is in force.
func (c *Client) ConfigurationStatus(ctx context.Context) (wire.ConfigurationStatus, error) {
	return read[wire.ConfigurationStatus](ctx, c, send{method: http.MethodGet, path: operatorPath + "/configuration"})
}

// Templates lists the templates' names.
func (c *Client) Templates(ctx context.Context) (wire.Names, error) {
	return read[wire.Names](ctx, c, send{method: http.MethodGet, path: operatorPath + "/templates"})
}

// Template shows one template as YAML.
func (c *Client) Template(ctx context.Context, name string) (string, error) {
	return c.text(ctx, send{method: http.MethodGet, path: operatorPath + "/templates/" + url.PathEscape(name)})
}

// Tenants lists the tenants' names.
func (c *Client) Tenants(ctx context.Context) (wire.Names, error) {
	return read[wire.Names](ctx, c, send{method: http.MethodGet, path: operatorPath + "/tenants"})
}

// Tenant shows one tenant as YAML.
func (c *Client) Tenant(ctx context.Context, name string) (string, error) {
	return c.text(ctx, send{method: http.MethodGet, path: operatorPath + "/tenants/" + url.PathEscape(name)})
}

// Programs lists programs of a tenant, or of all for an empty one.
func (c *Client) Programs(ctx context.Context, tenant string, limit int) (wire.ProgramList, error) {
	return read[wire.ProgramList](ctx, c, send{method: http.MethodGet, path: operatorPath + "/programs", query: url.Values{
		"tenant": {tenant}, "limit": {strconv.Itoa(limit)},
	}})
}

// AnyProgram reads any tenant's program, as an operator.
func (c *Client) AnyProgram(ctx context.Context, program string) (wire.Program, error) {
	return read[wire.Program](ctx, c, send{method: http.MethodGet, path: operatorPath + "/programs/" + url.PathEscape(program)})
}

// EndAnyProgram ends any tenant's program, as an operator.
func (c *Client) EndAnyProgram(ctx context.Context, program string) (wire.Program, error) {
	return read[wire.Program](ctx, c, send{method: http.MethodDelete, path: operatorPath + "/programs/" + url.PathEscape(program)})
}

// Nodes lists the nodes as the node asked sees them.
func (c *Client) Nodes(ctx context.Context) (wire.NodeList, error) {
	return read[wire.NodeList](ctx, c, send{method: http.MethodGet, path: operatorPath + "/nodes"})
}

// Drain makes a node leave.
func (c *Client) Drain(ctx context.Context, node string) error {
	_, err := c.text(ctx, send{method: http.MethodPost, path: operatorPath + "/nodes/" + url.PathEscape(node) + "/drain"})
	return err
}
