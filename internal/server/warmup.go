package server

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/warmup"
)

// service returns the named service of the current configuration, or the zero value if there is
// none.
func (v *verifier) service(name string) route.Service {
	configuration := v.server.forwarder.Configuration()
	if configuration == nil {
		return route.Service{}
	}
	return configuration.Services[name]
}

// coldPolicy reports whether the cold workers of a service get fewer requests than others, and
// how long a worker stays cold unless its record says otherwise.
func (v *verifier) coldPolicy(name string) (limited bool, start time.Duration) {
	service := v.service(name)
	return service.ColdRequestsPerSecond > 0, service.ColdStart
}

// coldLimit returns the request limit for cold workers of a service.
func (v *verifier) coldLimit(name string) warmup.ColdCapacity {
	return warmup.ColdCapacity{
		PerSecond: v.service(name).ColdRequestsPerSecond,
		Overage:   v.options.Settings.ColdOverage,
		Slack:     v.options.Settings.ColdSlack,
	}
}

// handleColdPermits registers the handler of permit requests for cold workers.
func (p *peers) handleColdPermits(allocator *warmup.Allocator) {
	peer.Handle(p.mux, methodColdPermit, func(_ context.Context, request warmup.Request) (warmup.Answer, error) {
		return allocator.Answer(request), nil
	})
}
