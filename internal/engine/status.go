package engine

// RequestState is what an engine knows of a request.
type RequestState string

// The states of a request at an engine.
const (
	RequestUnknown  RequestState = "unknown" // never seen, or forgotten after the retention time
	RequestRunning  RequestState = "running" // queued or generating
	RequestFinished RequestState = "finished"
	RequestFailed   RequestState = "failed"
)

// RequestStatus answers a lookup by request id.
type RequestStatus struct {
	State   RequestState
	Outcome Outcome // of a finished request
	Tokens  int     // made so far
	// Fence is the highest epoch that the engine has seen, and its own start, at
	// the moment of the answer. An engine that does not tell leaves it zero.
	Fence Fence
	// Forgotten is the highest epoch among the requests that this start of the
	// engine has forgotten.
	Forgotten uint64
}

// NeverRuns reports whether a request that was meant for the engine under one
// fence alone did not run and never will. It proves so by the engine's one
// answer: the same start of the engine has seen a higher epoch, so it refuses the
// request from then on, and neither knows it nor can have forgotten it. Another
// start refuses it for its instance.
func (s RequestStatus) NeverRuns(bound Fence) bool {
	return s.provable(bound) && s.Fence.Epoch > bound.Epoch
}

// MayBeProven reports whether a newer owner could still prove that the request
// never runs.
func (s RequestStatus) MayBeProven(bound Fence) bool {
	return s.provable(bound) && s.Fence.Epoch <= bound.Epoch
}

func (s RequestStatus) provable(bound Fence) bool {
	return s.State == RequestUnknown && bound.Epoch > 0 && bound.Instance != "" &&
		s.Fence.Instance == bound.Instance && s.Forgotten < bound.Epoch
}

// StatusBody is a RequestStatus on the wire.
type StatusBody struct {
	State   RequestState `json:"state"`
	Outcome OutcomeBody  `json:"outcome,omitzero"`
	Tokens  int          `json:"tokens"`
	// Fence and Forgotten are left out by engines that cannot tell.
	Fence     Fence  `json:"fence,omitzero"`
	Forgotten uint64 `json:"forgotten,omitempty"`
}

// StatusBodyOf returns the wire shape of a status.
func StatusBodyOf(status RequestStatus) StatusBody {
	return StatusBody{
		State: status.State, Outcome: OutcomeBodyOf(status.Outcome), Tokens: status.Tokens,
		Fence: status.Fence, Forgotten: status.Forgotten,
	}
}

// Status returns what the body describes.
func (b StatusBody) Status() RequestStatus {
	return RequestStatus{
		State: b.State, Outcome: b.Outcome.Outcome(), Tokens: b.Tokens,
		Fence: b.Fence, Forgotten: b.Forgotten,
	}
}
