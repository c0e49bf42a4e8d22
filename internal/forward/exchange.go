package forward

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/capacity"
	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/streamcopy"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// exchange is the state of one request.
type exchange struct {
	*Forwarder
	request          *Request
	route            *route.Route
	tenant           *tenant.Tenant // nil: the request needs no key
	configAge        time.Duration  // age of the configuration at the last check of the key
	limitTaken       bool           // the request was counted against the tenant's rate limit
	service          string         // service that the request is sent to
	home             string         // key of the worker that holds the program's context; empty: none
	body             [][]byte       // as sent to workers, in parts: the history and the request body
	out              Responder
	startTime        time.Time
	clock            stepClock
	clientCtx        context.Context           // ends when the client disconnects
	excluded         []string                  // keys of workers that must not be chosen
	attempts         attempts                  // workers that may have run the request
	attempted        []*backend.Worker         // those workers, for restart checks
	prefixWorkers    []string                  // IDs of workers that cache the prompt's shared prefix
	suspicion        suspicion                 // ends of workers under the request's work
	sends            int                       // number of sends so far
	used             httpconn.UsedConnections  // connections of those sends
	sendFailures     []string                  // outcome of each send that failed or was not made, for the log
	declines         int                       // number of sends that workers declined or had no connection for
	slot             *capacity.Reservation     // capacity held at a worker; nil: none
	placement        capacity.Placement        // result of the last capacity request
	capacityWait     time.Duration             // total time spent in capacity requests
	coldAttempts     int                       // permissions requested for cold workers since the exclusions were last reset
	coldRetryAfter   time.Duration             // until a cold worker may take a request; 0: none was refused
	lastWorker       string                    // key of the worker last sent to
	crossRegion      backend.CrossRegionReason // why that worker is in another region; empty: it is not
	events           int                       // number of events relayed
	versions         eligibility.Versions      // software versions that may serve the request
	version          *string                   // the only one of them, which began the stream; nil: the stream has not begun
	acceptsDraining  bool                      // no other worker can serve the request than the draining one that was chosen
	relayedBy        string                    // key of the worker whose event was relayed last; empty: none was
	budgetDrawn      bool                      // this node had to draw tokens for the turn
	budgetHandedOver bool                      // another node handed tokens over
	budgetLocated    bool                      // the directory named the nodes to ask for tokens
	budgetGranted    bool                      // the owner of a directory slot granted tokens
	historyFromPeer  bool                      // another node returned the conversation history
	headSent         bool                      // the head of a stream or long answer was sent
	answered         bool                      // the client has its final answer
	lastEventID      string                    // ID of the last event that the client has
	output           []byte                    // the turn's output so far, to be stored
	outputMemory     *memory.Grant             // for a long output
	resumed          streamcopy.Attempt        // what the client had got of the turn before this request
	recording        *streamcopy.Recording     // of the events that the client gets; nil: none was relayed, or they are not copied
	uncopied         int                       // number of events that left while no other node had them
	turnMemory       *turnMemory
	program          programState // state of the program that the turn belongs to
}
