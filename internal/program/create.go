package program

import (
	"maps"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

func (m *Machine) create(c *Create) Result {
	if existing := m.Programs[c.Program]; existing != nil {
		return m.createAgain(c, existing)
	}
	deadline, problem := m.checkParent(c)
	if problem != nil {
		return Result{Fault: problem}
	}
	r := &record{
		Program: c.Program, Tenant: c.Tenant, Template: c.Template, Parameters: c.Parameters,
		Parent: c.Parent, Created: m.Now, Deadline: deadline, MaxTurns: c.MaxTurns, Idle: c.Idle,
		Limits: c.Limits, Turn: 1, Attempt: 1, Active: m.Now,
	}
	if c.SystemPrompt != "" {
		r.History = []chat.Message{{Role: chat.System, Content: c.SystemPrompt}}
		r.Prefix = r.Prefix.Extend(r.History...)
		r.Tokens = r.Prefix.Tokens()
	}
	r.restoreMaps()
	m.Programs[c.Program] = r
	m.addToTree(c.Program)
	m.grow(r, r.measure())
	return Result{Program: r.view()}
}

// createAgain answers a repeated Create with the first one's program.
func (m *Machine) createAgain(c *Create, existing *record) Result {
	if _, problem := m.find(c.Program, c.Tenant); problem != nil {
		return Result{Fault: problem}
	}
	same := c.Template == existing.Template && c.Parent == existing.Parent && maps.Equal(c.Parameters, existing.Parameters)
	if !same {
		return Result{Fault: fault.Newf(fault.KeyReused, "choose a fresh identifier", "program %q exists with other settings", c.Program)}
	}
	return Result{Program: existing.view(), Existing: true}
}

// checkParent returns the deadline of a new program, which never lies after
// its parent's.
func (m *Machine) checkParent(c *Create) (deadline time.Time, problem *fault.Error) {
	if c.Parent == "" {
		if c.Program.Root() != c.Program {
			return deadline, fault.Newf(fault.Invalid, "name the parent", "program %q is a sub-agent's identifier", c.Program)
		}
		return c.Deadline, nil
	}
	if !within(c.Program, c.Parent) || c.Program == c.Parent {
		return deadline, fault.Newf(fault.Invalid, "extend the parent's identifier by a dot and a suffix", "program %q does not lie under %q", c.Program, c.Parent)
	}
	parent, problem := m.find(c.Parent, c.Tenant)
	if problem != nil {
		return deadline, problem
	}
	if parent.Ended || parent.Closing != nil {
		return deadline, endedFault(parent)
	}
	root := m.Programs[c.Program.Root()]
	if root != nil && root.Limits.SubAgents > 0 && m.subAgents(root.Program) >= root.Limits.SubAgents {
		return deadline, fault.Newf(fault.LimitReached, "end a sub-agent first or raise the template's sub_agents",
			"program %q has %d sub-agents", root.Program, root.Limits.SubAgents)
	}
	return earlier(c.Deadline, parent.Deadline), nil
}

// subAgents counts the living programs under root.
func (m *Machine) subAgents(root id.Program) int {
	alive := 0
	for name := range m.trees[root] {
		if name != root && !m.Programs[name].Ended {
			alive++
		}
	}
	return alive
}

// endedFault is the answer to a call of a program that has ended or is about to.
func endedFault(r *record) *fault.Error {
	if !r.Ended {
		return r.Closing
	}
	return fault.Newf(fault.ProgramEnded, "create a new program", "program %q has ended: %s", r.Program, r.Reason)
}
