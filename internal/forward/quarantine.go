package forward

import (
	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/quarantine"
)

// keys identify the request's work over all tries of its client. They are computed when they are first needed, since a large
// body takes some time to hash.
func (x *exchange) keys() quarantine.Keys {
	if x.workKeys == nil {
		work := quarantine.Work{
			Program:      x.request.Program,
			Method:       x.request.Method,
			Host:         x.request.Host,
			Target:       x.request.Target,
			Prompt:       x.request.Prompt,
			PreviousTurn: x.request.PreviousTurn,
			Body:         x.request.Body,
		}
		if x.tenant != nil {
			work.Tenant = x.tenant.Name
		}
		keys := quarantine.KeysOf(work)
		x.workKeys = &keys
	}
	return *x.workKeys
}

// workFields returns the fields by which log lines on the same work can be joined.
func (x *exchange) workFields() log.Fields {
	fields := log.Fields{"content": x.keys().Content.String()}
	if x.request.Program != "" {
		fields["program"] = x.request.Program
	}
	return fields
}
