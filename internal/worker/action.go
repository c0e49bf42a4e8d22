package worker

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// ActionKind tells a Core's actions apart.
type ActionKind string

// The kinds of actions.
const (
	ActStart   ActionKind = "start"   // send Job to the engine at Priority, after Import if it is set
	ActRefuse  ActionKind = "refuse"  // answer Request with Fault; it never ran
	ActCancel  ActionKind = "cancel"  // stop Request at the engine
	ActHold    ActionKind = "hold"    // pin Program's context up to Segment until Until
	ActRelease ActionKind = "release" // unpin Program's context
	ActExport  ActionKind = "export"  // copy the context out, then report it to Exported
	ActDrop    ActionKind = "drop"    // let Segment go
	ActOrder   ActionKind = "order"   // send Order to the engine, then report it to Ordered
)

// Action is what a Core wants done at the engine or answered to a caller.
type Action struct {
	Kind     ActionKind
	Request  id.Request
	Job      *Job
	Priority int
	Import   Import // to take in before a start
	Fault    *fault.Error
	Program  id.Program
	Segment  uint64
	Until    time.Time
	Order    engine.Order
}
