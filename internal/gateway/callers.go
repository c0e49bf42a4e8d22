package gateway

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Callers is what the gateway needs to know of tenants.
type Callers interface {
	// Authenticate finds the tenant of a caller's key.
	Authenticate(key string) (id.Tenant, bool)
	// Models lists the models that any of the tenant's templates allows, sorted.
	Models(tenant id.Tenant) []id.Model
}

// configuredCallers reads the configuration in force.
type configuredCallers struct{ source config.Source }

// Authenticate implements Callers.
func (c configuredCallers) Authenticate(key string) (id.Tenant, bool) {
	return c.source.Current().Authenticate(key)
}

// Models implements Callers.
func (c configuredCallers) Models(tenant id.Tenant) []id.Model {
	configuration := c.source.Current()
	owner, known := configuration.Tenant(tenant)
	if !known {
		return nil
	}
	var models []id.Model
	for name := range owner.Templates {
		if used, exists := configuration.Template(name); exists {
			models = append(models, used.Models...)
		}
	}
	if len(owner.Models) > 0 {
		models = slices.DeleteFunc(models, func(model id.Model) bool { return !slices.Contains(owner.Models, model) })
	}
	slices.Sort(models)
	return slices.Compact(models)
}

type contextKey int

const tenantKey contextKey = iota

// tenantOf returns the authenticated tenant of a caller's request.
func tenantOf(ctx context.Context) id.Tenant {
	tenant, _ := ctx.Value(tenantKey).(id.Tenant)
	return tenant
}

// bearer returns the key of an Authorization header.
func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate admits callers whose key belongs to a tenant.
func (g *Gateway) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := bearer(r)
		tenant, known := g.callers.Authenticate(key)
		if key == "" || !known {
			g.fail(w, r, g.unknownKey(key))
			return
		}
		noteTenant(r.Context(), tenant)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tenantKey, tenant)))
	})
}

// unknownKey is the answer to a key that no tenant has. A node that does not know
// the present configuration, such as one that has just started, cannot tell.
func (g *Gateway) unknownKey(key string) error {
	if err := g.checkFresh(); key != "" && err != nil {
		return err
	}
	return fault.New(fault.Unauthorized, "no tenant has this key", "send a tenant's key as Authorization: Bearer KEY")
}

// limit refuses callers' requests over the number that a node holds at once.
// Operators are not limited, so that they can act while callers crowd.
func (g *Gateway) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.inFlight.Add(-1)
		if g.inFlight.Add(1) > int64(g.options.MaxRequests) {
			g.fail(w, r, fault.Newf(fault.Overloaded, "come back later or try another node",
				"this node holds its %d requests", g.options.MaxRequests).WithRetryAfter(defaultRetryAfter))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operatorKeys are the SHA-256 sums of the operators' keys.
type operatorKeys [][sha256.Size]byte

func hashKeys(keys []string) operatorKeys {
	var hashed operatorKeys
	for _, key := range keys {
		if key != "" {
			hashed = append(hashed, sha256.Sum256([]byte(key)))
		}
	}
	return hashed
}

// match compares in constant time.
func (k operatorKeys) match(key string) bool {
	given := sha256.Sum256([]byte(key))
	found := 0
	for _, known := range k {
		found |= subtle.ConstantTimeCompare(known[:], given[:])
	}
	return found == 1
}

// authenticateOperator admits requests with an operator's key.
func (g *Gateway) authenticateOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.operators.match(bearer(r)) {
			g.fail(w, r, fault.New(fault.Unauthorized, "not an operator's key", "send a key from operator_keys of the node's settings as Authorization: Bearer KEY"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// listModels answers GET /v1/models.
func (g *Gateway) listModels(w http.ResponseWriter, r *http.Request) {
	list := wire.ModelList{Object: wire.ObjectList, Data: []wire.Model{}}
	for _, model := range g.callers.Models(tenantOf(r.Context())) {
		list.Data = append(list.Data, wire.Model{ID: string(model), Object: wire.ObjectModel, OwnedBy: "operator"})
	}
	writeJSON(w, http.StatusOK, list)
}
