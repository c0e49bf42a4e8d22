package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// Configurator is what operators need of the configuration service.
type Configurator interface {
	// Apply validates and, unless it is a dry run, accepts a change. It fails
	// with fault.Conflict when the change lost a race.
	Apply(ctx context.Context, request config.ApplyRequest) (config.ApplyResult, error)
	// Rollback makes a new version that looks like an old one.
	Rollback(ctx context.Context, request config.RollbackRequest) (config.ApplyResult, error)
	// History lists accepted versions, latest first.
	History(ctx context.Context, request config.HistoryRequest) (config.History, error)
	// Diff compares two accepted versions.
	Diff(ctx context.Context, request config.DiffRequest) (config.Diff, error)
	// Status asks every node for its version in force.
	Status(ctx context.Context) []config.NodeStatus
}

// Nodes does what operators ask of nodes.
type Nodes interface {
	// Drain makes a node leave; it fails with fault.NotFound.
	Drain(ctx context.Context, node id.Node) error
}

// objectKind tells what operators configure apart.
type objectKind = template.Kind

const (
	templateObjects = template.TemplateKind
	tenantObjects   = template.TenantKind
)

const (
	defaultHistory = 20
	maxHistory     = 1000
)

func (g *Gateway) routeOperators(router *mux.Router) {
	router.Use(g.observe, g.authenticateOperator)
	get, post := http.MethodGet, http.MethodPost
	for path, kind := range map[string]objectKind{"/templates": templateObjects, "/tenants": tenantObjects} {
		router.Handle(path, g.methods(methods{post: g.configured(g.applyConfiguration), get: g.configured(g.listObjects(kind))}))
		router.Handle(path+"/{name}", g.methods(methods{
			get: g.configured(g.showObject(kind)), http.MethodDelete: g.configured(g.removeObject(kind)),
		}))
	}
	router.Handle("/configuration", g.methods(methods{get: g.configured(g.configurationStatus), post: g.configured(g.applyConfiguration)}))
	router.Handle("/configuration/history", g.methods(methods{get: g.configured(g.configurationHistory)}))
	router.Handle("/configuration/diff", g.methods(methods{get: g.configured(g.configurationDiff)}))
	router.Handle("/configuration/rollback", g.methods(methods{post: g.configured(g.rollbackConfiguration)}))
	router.Handle("/programs", g.methods(methods{get: g.listPrograms}))
	router.Handle("/programs/{program}", g.methods(methods{get: g.showAnyProgram, http.MethodDelete: g.endAnyProgram}))
	router.Handle("/nodes", g.methods(methods{get: g.listNodes}))
	router.Handle("/nodes/{node}/drain", g.methods(methods{post: g.drainNode}))
}

// configured answers operators where a configuration service is wired.
func (g *Gateway) configured(answer func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if g.options.Configurator == nil {
			g.noRoute(w, r)
			return
		}
		if err := answer(w, r); err != nil {
			g.fail(w, r, err)
		}
	}
}

// applyConfiguration accepts templates and tenants in YAML or JSON.
func (g *Gateway) applyConfiguration(w http.ResponseWriter, r *http.Request) error {
	document, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	change, problems := template.Parse("body", document)
	if len(problems) > 0 {
		return fault.New(fault.Invalid, problems.Error(), "correct the document")
	}
	return g.applyChange(w, r, change)
}

// removeObject takes a template or tenant out of the configuration.
func (g *Gateway) removeObject(kind objectKind) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		name := mux.Vars(r)["name"]
		if kind == templateObjects {
			return g.applyChange(w, r, template.Change{RemoveTemplates: []id.Template{id.Template(name)}})
		}
		return g.applyChange(w, r, template.Change{RemoveTenants: []id.Tenant{id.Tenant(name)}})
	}
}

func (g *Gateway) applyChange(w http.ResponseWriter, r *http.Request, change template.Change) error {
	base, err := baseVersion(r)
	if err != nil {
		return err
	}
	options := r.URL.Query()
	applied, err := g.options.Configurator.Apply(r.Context(), config.ApplyRequest{
		ChangeID: r.Header.Get(wire.HeaderKey),
		Base:     base,
		Change:   change,
		Author:   options.Get("author"),
		Message:  options.Get("message"),
		DryRun:   options.Get("dry_run") == "true",
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, applied)
	return nil
}

// baseVersion reads If-Match, with or without quotes. Without it a change may
// only create; * changes whatever is present.
func baseVersion(r *http.Request) (uint64, error) {
	switch match := strings.Trim(r.Header.Get(wire.HeaderIfMatch), `"`); match {
	case "":
		return 0, nil
	case "*":
		return config.AnyBase, nil
	default:
		return parseVersion(match, wire.HeaderIfMatch)
	}
}

func parseVersion(text, name string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.Newf(fault.Invalid, "send a configuration version such as 12", "%s is %q", name, text)
	}
	return version, nil
}

func (g *Gateway) listObjects(kind objectKind) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, _ *http.Request) error {
		present := g.options.Config.Current()
		list := wire.Names{Version: present.Version, Names: []string{}}
		if kind == templateObjects {
			for found := range present.AllTemplates() {
				list.Names = append(list.Names, string(found.Name))
			}
		} else {
			for found := range present.AllTenants() {
				list.Names = append(list.Names, string(found.Name))
			}
		}
		slices.Sort(list.Names)
		writeJSON(w, http.StatusOK, list)
		return nil
	}
}

// showObject writes a template or tenant as an operator could apply it, with
// the version to name in If-Match as its ETag.
func (g *Gateway) showObject(kind objectKind) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		present := g.options.Config.Current()
		name := mux.Vars(r)["name"]
		var object any
		var exists bool
		if kind == templateObjects {
			object, exists = present.Template(id.Template(name))
		} else {
			object, exists = present.Tenant(id.Tenant(name))
		}
		if !exists {
			return fault.Newf(fault.NotFound, "list them to see their names", "there is no %s of the name %q", kind, name)
		}
		document, err := yaml.Marshal(object)
		if err != nil {
			return eris.Wrap(err, "encode the object")
		}
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(present.Version, 10)))
		w.Header().Set("Content-Type", wire.MediaYAML)
		_, _ = w.Write(append([]byte(template.KindKey+": "+string(kind)+"\n"), document...))
		return nil
	}
}

func (g *Gateway) configurationStatus(w http.ResponseWriter, r *http.Request) error {
	writeJSON(w, http.StatusOK, wire.ConfigurationStatus{
		Version: g.options.Config.Current().Version,
		Nodes:   g.options.Configurator.Status(r.Context()),
	})
	return nil
}

func (g *Gateway) configurationHistory(w http.ResponseWriter, r *http.Request) error {
	history, err := g.options.Configurator.History(r.Context(), config.HistoryRequest{
		Object: r.URL.Query().Get("object"),
		Limit:  limitOf(r, defaultHistory, maxHistory),
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, wire.History{Items: history.Items})
	return nil
}

// limitOf reads ?limit=, within bounds.
func limitOf(r *http.Request, byDefault, most int) int {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		return byDefault
	}
	return min(limit, most)
}

func (g *Gateway) configurationDiff(w http.ResponseWriter, r *http.Request) error {
	from, err := parseVersion(r.URL.Query().Get("from"), "from")
	if err != nil {
		return err
	}
	var to uint64 // the head
	if text := r.URL.Query().Get("to"); text != "" {
		if to, err = parseVersion(text, "to"); err != nil {
			return err
		}
	}
	diff, err := g.options.Configurator.Diff(r.Context(), config.DiffRequest{From: from, To: to})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, diff)
	return nil
}

func (g *Gateway) rollbackConfiguration(w http.ResponseWriter, r *http.Request) error {
	base, err := baseVersion(r)
	if err != nil {
		return err
	}
	var body wire.Rollback
	if err := g.readJSON(w, r, &body, strict); err != nil {
		return err
	}
	applied, err := g.options.Configurator.Rollback(r.Context(), config.RollbackRequest{
		ChangeID: r.Header.Get(wire.HeaderKey),
		To:       body.To,
		Base:     base,
		Objects:  body.Objects,
		Author:   body.Author,
		Message:  body.Message,
		DryRun:   body.DryRun,
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, applied)
	return nil
}

// drainTimeout bounds an operator's order to another node.
const drainTimeout = 10 * time.Second

// drainNode answers POST /v1/operator/nodes/{node}/drain.
func (g *Gateway) drainNode(w http.ResponseWriter, r *http.Request) {
	if g.options.Nodes == nil {
		g.noRoute(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), drainTimeout)
	defer cancel()
	if err := g.options.Nodes.Drain(ctx, id.Node(mux.Vars(r)["node"])); err != nil {
		g.fail(w, r, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
