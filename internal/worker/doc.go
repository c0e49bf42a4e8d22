// Package worker owns back ends. Core joins admission and cache retention for
// one engine as a pure state machine; Service runs the Cores of the workers
// that this node owns against their engines and answers other nodes; Placer
// chooses a worker for a call by probing few owners; Catalog knows which
// workers there are.
package worker
