package backend

import "github.com/cloverwheel/cloverwheel/internal/wait"

// Silences holds the latency estimates of a service: how long its workers usually send nothing.
type Silences struct {
	First wait.Estimate // from the request to the first chunk of its answer
	Next  wait.Estimate // between two chunks
}

// Silences returns the estimates for a service, creating them on first use.
func (r *Registry) Silences(service string) *Silences {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.silences[service]
	if !ok {
		known = new(Silences)
		r.silences[service] = known
	}
	return known
}
