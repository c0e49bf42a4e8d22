package dispatch

import (
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/program"
)

// learningRate is the weight of the newest observation.
const learningRate = 0.1

// estimates are moving averages over the past programs of each template at this
// node.
type estimates struct {
	mutex     sync.Mutex
	templates map[id.Template]*estimate
}

type estimate struct {
	service float64 // of a whole tree, in tokens
	pause   float64 // between two calls, in seconds
}

func newEstimates() *estimates {
	return &estimates{templates: map[id.Template]*estimate{}}
}

func (e *estimates) of(name id.Template) *estimate {
	known := e.templates[name]
	if known == nil {
		known = &estimate{}
		e.templates[name] = known
	}
	return known
}

// remaining is the service that a program still needs; zero when unknown.
func (e *estimates) remaining(name id.Template, attained int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return max(0, int(e.of(name).service)-attained)
}

func (e *estimates) pause(name id.Template) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Duration(e.of(name).pause * float64(time.Second))
}

func (e *estimates) observeService(name id.Template, tokens int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.of(name)
	known.service = blend(known.service, float64(tokens))
}

func (e *estimates) observePause(name id.Template, pause time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.of(name)
	known.pause = blend(known.pause, pause.Seconds())
}

func blend(old, observed float64) float64 {
	if old == 0 {
		return observed
	}
	return old + learningRate*(observed-old)
}

// learn takes an ended root program into the estimates.
func (l *leadership) learn(view program.View) {
	if view.Parent != "" || view.Turns == 0 {
		return
	}
	attained := 0
	l.peek(func(m *program.Machine) { attained = m.AttainedBy(view.Program) })
	l.dispatcher.learned.observeService(view.Template, attained)
}

// expectedPause is how long the program will be away after this call: as the
// caller said, or else as its template's programs usually are.
func (m *modelCall) expectedPause() time.Duration {
	if hint := m.pauseHint(m.call.Key); hint > 0 {
		return hint
	}
	return m.leadership.dispatcher.learned.pause(m.view.Template)
}
