package backend

import "github.com/cloverwheel/cloverwheel/internal/timing"

// LatencyEstimates holds the latency estimates of a service: how long its workers usually send nothing.
type LatencyEstimates struct {
	First timing.LatencyEstimate // from the request to the first chunk of its answer
	Next  timing.LatencyEstimate // between two chunks
}

// LatencyEstimates returns the estimates for a service, creating them on first use.
func (r *Registry) LatencyEstimates(service string) *LatencyEstimates {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.latencies[service]
	if !ok {
		known = new(LatencyEstimates)
		r.latencies[service] = known
	}
	return known
}
