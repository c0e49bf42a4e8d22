package forward

import (
	"context"
	"slices"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/streamorigin"
)

// StreamOrigins remembers which software version of a service began each stream. Streams of two versions do not fit together, and
// workers do not check that.
type StreamOrigins interface {
	// Record records where a stream began, for this and other nodes. It does not block.
	Record(stream string, origin streamorigin.Origin)
	// Find returns where a stream began. The origin is empty if the outcome says that it was not found.
	Find(ctx context.Context, stream string) (streamorigin.Origin, streamorigin.Outcome)
	// Registered returns the software versions of a service at which streams may begin; restricted is false if all may.
	Registered(service string) (versions []string, restricted bool)
	// SoleVersion returns the only software version at which streams of a service can have begun; ok is false if there
	// may be several, or if streams of the service's routes can have begun at another service. It reads the store.
	SoleVersion(ctx context.Context, service string) (version string, ok bool)
}

// Values of the "since" log field and metric label: which answer holds the events of a continued stream.
const (
	sinceSameAnswer   = "answer"  // events of this answer
	sinceEarlierTries = "request" // events of the client's earlier requests
)

// Values of the "origin" log field and metric label besides the outcomes of StreamOrigins.Find: why a stream whose origin was not
// found is continued or refused.
const (
	originSole    = "sole"    // its route has led to one service lately, which has had one software version only
	originUnknown = "unknown" // there have been several
)

// resume prepares a request that resumes a stream of an earlier request: only workers of the service and the software
// version that began the stream may serve it. It refuses the request at once if nobody knows them, or if no such worker is left.
func (x *exchange) resume(ctx context.Context) *fault.Error {
	if x.request.LastEventID == "" {
		return nil
	}
	origin, outcome := x.findOrigin(ctx)
	x.service = origin.Service
	if outcome != originUnknown {
		x.bindTo(origin.Version)
	}
	if origin.Worker != "" {
		x.home = origin.Worker // it has the prompt cached
		x.lookUpWorkers(ctx)
	}
	refusal := x.checkResume(outcome)
	x.logResumed(origin, outcome, refusal)
	return refusal
}

// bindTo lets only workers of one software version serve the request from now on.
func (x *exchange) bindTo(version string) {
	x.version, x.versions = &version, eligibility.OnlyVersions(version)
}

// restrictVersions updates which software versions may serve the request, unless it is bound to one. A stream that may be resumed
// at another node begins only at a registered version, so that this node knows whether there are several.
func (x *exchange) restrictVersions() {
	if x.version != nil || x.options.Origins == nil || !x.route.HasResumableStreams() {
		return
	}
	x.versions = eligibility.Versions{}
	if names, restricted := x.options.Origins.Registered(x.service); restricted {
		x.versions = eligibility.OnlyVersions(names...)
	}
}

// findOrigin returns where the stream began that the request resumes, and how that is known.
func (x *exchange) findOrigin(ctx context.Context) (origin streamorigin.Origin, outcome string) {
	if x.options.Origins != nil {
		found, how := x.options.Origins.Find(ctx, x.tenant.Scope(x.request.ResumedRequest))
		if how == streamorigin.FoundHere || how == streamorigin.FoundAsked {
			return found, string(how)
		}
	}
	service := x.chooseService()
	if version, ok := x.soleVersion(ctx, service); ok {
		return streamorigin.Origin{Service: service, Version: version}, originSole
	}
	return streamorigin.Origin{Service: service}, originUnknown
}

// soleVersion returns the only software version of a service; ok is false if it may have several.
func (x *exchange) soleVersion(ctx context.Context, service string) (version string, ok bool) {
	if x.options.Origins != nil {
		return x.options.Origins.SoleVersion(ctx, service)
	}
	if versions := x.options.Workers.SoftwareVersions(service); len(versions) == 1 {
		return versions[0], true
	}
	return "", false
}

// checkResume refuses a request that resumes a stream if no worker may continue it.
func (x *exchange) checkResume(outcome string) *fault.Error {
	isTarget := func(target route.Target) bool { return target.Service == x.service && target.Weight > 0 }
	switch {
	case outcome == originUnknown:
		return fault.New(fault.Unavailable, "several services or software versions may have served, and no node that answers knows which of them began this stream", startAnew).
			WithRetryAfter(jitteredRetryAfter())
	case !slices.ContainsFunc(x.route.Targets, isTarget):
		return fault.Newf(fault.Unavailable, startAnew, "the stream began at service %q, to which its route no longer leads", x.service).
			WithRetryAfter(jitteredRetryAfter())
	default:
		return x.checkVersionServed()
	}
}

// startAnew is the remedy for a stream that cannot be continued.
const startAnew = "retry after the delay in Retry-After, or send the request without the last event's ID to start anew"

// checkVersionServed refuses a request that only one software version may serve if no worker of that version may get it.
// Waiting would not help.
func (x *exchange) checkVersionServed() *fault.Error {
	if x.version == nil || x.options.Workers.Serves(x.service, x.lastResort()) {
		return nil
	}
	if x.options.Finder != nil {
		x.options.Finder.RecordNoCapacity() // this node may list a part of the workers
	}
	refusal := fault.Newf(fault.Unavailable, startAnew, "no worker of service %q that may get requests runs software version %q, which began the stream", x.service, *x.version).
		WithRetryAfter(jitteredRetryAfter())
	return x.withRan(refusal)
}

// recordRelayed records the worker whose event is about to be relayed. With the first one, the software version that may continue
// the stream is known, and is recorded for other nodes.
func (x *exchange) recordRelayed(worker *backend.Worker) {
	isFirst := x.relayedBy == ""
	x.relayedBy = worker.Key()
	if !isFirst {
		return
	}
	x.bindTo(worker.SoftwareVersion())
	if x.options.Origins != nil && x.route.HasResumableStreams() {
		x.options.Origins.Record(x.streamID(), streamorigin.Origin{Service: x.service, Version: worker.SoftwareVersion(), Worker: worker.Key()})
	}
}

// relayedVersion returns the software version of the workers whose events were relayed; empty: none were.
func (x *exchange) relayedVersion() string {
	if x.relayedBy == "" {
		return ""
	}
	return *x.version
}

// streamID returns the name by which clients refer to the stream: the ID of the request that brought its first event.
func (x *exchange) streamID() string {
	if x.request.LastEventID != "" && x.request.ResumedRequest != "" {
		return x.tenant.Scope(x.request.ResumedRequest)
	}
	return x.tenant.Scope(x.request.ID)
}

// isBoundToVersion reports whether the stream has begun, and some workers of its service run another software version.
func (x *exchange) isBoundToVersion() bool {
	return x.version != nil && slices.ContainsFunc(x.options.Workers.SoftwareVersions(x.service), func(name string) bool { return !x.versions.Allow(name) })
}

// logResumed logs and counts a request that resumes a stream of an earlier one.
func (x *exchange) logResumed(origin streamorigin.Origin, outcome string, refusal *fault.Error) {
	x.options.Metrics.ResumedStreams.WithLabelValues(outcome).Inc()
	entry := x.options.Logger.WithFields(log.Fields{
		"request":    x.request.ID,
		"resumes":    x.request.ResumedRequest,
		"last_event": x.request.LastEventID,
		"origin":     outcome,
		"service":    origin.Service,
		"version":    origin.Version,
		"relayed_by": origin.Worker,
	})
	if refusal != nil {
		entry.WithField("reason", refusal.Message).Warn("refusing to resume a stream")
		return
	}
	entry.Info("resuming a stream at workers of the version that began it")
}

// logContinued logs and counts a send to a worker that is asked to continue a stream after its last event.
func (x *exchange) logContinued(worker *backend.Worker) {
	if x.lastEventID == "" {
		return
	}
	since := sinceEarlierTries
	if x.events > 0 {
		since = sinceSameAnswer
	}
	x.options.Metrics.ContinuedStreams.WithLabelValues(since).Inc()
	x.options.Logger.WithFields(log.Fields{
		"request":         x.request.ID,
		"resumes":         x.request.ResumedRequest,
		"since":           since,
		"last_event":      x.lastEventID,
		"relayed_by":      x.relayedBy,
		"relayed_version": x.relayedVersion(),
		"worker":          worker.Key(),
		"version":         worker.SoftwareVersion(),
		"send":            x.sends,
	}).Info("sending a stream's request to be continued after its last event")
}
