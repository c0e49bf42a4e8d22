package gateway

import (
	"net/http"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/member"
)

// health answers GET /healthz: the process runs.
func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready answers GET /readyz: whether new connections should come here.
func (g *Gateway) ready(w http.ResponseWriter, r *http.Request) {
	if g.leaving() {
		g.fail(w, r, fault.New(fault.Unavailable, "this node is leaving", "use another node"))
		return
	}
	if err := g.checkFresh(); err != nil {
		g.fail(w, r, err)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (g *Gateway) leaving() bool {
	if g.draining.Load() {
		return true
	}
	view := g.options.Members()
	return view != nil && view.Self.State == member.Leaving
}
