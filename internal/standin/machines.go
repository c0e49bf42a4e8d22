package standin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

const machineService = "machine list"

// DefaultTimeToLive is how long a machine stays listed after a heartbeat.
const DefaultTimeToLive = 10 * time.Second

// MachinesOptions configure the machine list.
type MachinesOptions struct {
	Lag        time.Duration // of every listing behind the truth
	TimeToLive time.Duration // zero: DefaultTimeToLive
}

// MemoryMachines is the platform's machine list in memory. It implements
// outside.Machines.
type MemoryMachines struct {
	Switch
	options MachinesOptions
	mutex   sync.Mutex
	entries map[string]*machineEntry
}

// machineEntry keeps the sightings of one machine, oldest first, as far back
// as the lag reaches.
type machineEntry struct {
	leaving   bool
	gone      bool
	sightings []sighting
}

type sighting struct {
	at      time.Time
	machine outside.Machine
}

// NewMemoryMachines returns an empty list.
func NewMemoryMachines(options MachinesOptions) *MemoryMachines {
	if options.TimeToLive == 0 {
		options.TimeToLive = DefaultTimeToLive
	}
	return &MemoryMachines{options: options, entries: map[string]*machineEntry{}}
}

// Register implements outside.Machines. A machine that is gone for good is
// refused.
func (m *MemoryMachines) Register(ctx context.Context, machine outside.Machine) error {
	return m.write(ctx, machineService, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		entry := m.entries[machine.ID]
		if entry == nil {
			entry = &machineEntry{}
			m.entries[machine.ID] = entry
		}
		if entry.gone {
			return fault.Newf(fault.Conflict, "start it under a new identifier", "machine %q has been retired", machine.ID)
		}
		m.see(entry, machine)
		return nil
	})
}

// SetLeaving tells the list that a machine is leaving or, after all, is not.
func (m *MemoryMachines) SetLeaving(machine string, leaving bool) error {
	return m.change(machine, func(entry *machineEntry) { entry.leaving = leaving })
}

// SetGone tells the list that a machine is retired for good. It stays listed
// as gone.
func (m *MemoryMachines) SetGone(machine string) error {
	return m.change(machine, func(entry *machineEntry) { entry.gone = true })
}

func (m *MemoryMachines) change(machine string, apply func(*machineEntry)) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry := m.entries[machine]
	if entry == nil {
		return fault.Newf(fault.NotFound, "check the identifier", "no machine %q", machine)
	}
	apply(entry)
	m.see(entry, entry.sightings[len(entry.sightings)-1].machine)
	return nil
}

// see records a sighting and forgets those that no listing can reach.
func (m *MemoryMachines) see(entry *machineEntry, machine outside.Machine) {
	machine.Leaving = machine.Leaving || entry.leaving
	machine.Gone = entry.gone
	machine.Models = slices.Clone(machine.Models)
	now := time.Now()
	horizon := now.Add(-m.options.Lag)
	first := 0
	for first+1 < len(entry.sightings) && !entry.sightings[first+1].at.After(horizon) {
		first++
	}
	entry.sightings = append(slices.Clone(entry.sightings[first:]), sighting{at: now, machine: machine})
}

// List implements outside.Machines; machines are sorted by identifier. An
// empty kind lists all.
func (m *MemoryMachines) List(ctx context.Context, kind outside.MachineKind) ([]outside.Machine, error) {
	var found []outside.Machine
	err := m.read(ctx, machineService, func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		horizon := time.Now().Add(-m.options.Lag)
		for _, entry := range m.entries {
			machine, listed := entry.at(horizon, m.options.TimeToLive)
			if listed && (kind == "" || machine.Kind == kind) {
				found = append(found, machine)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(found, func(a, b outside.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return found, nil
}

// at returns the machine as it stood at a time, if it was listed then.
func (e *machineEntry) at(when time.Time, timeToLive time.Duration) (outside.Machine, bool) {
	for _, seen := range slices.Backward(e.sightings) {
		if seen.at.After(when) {
			continue
		}
		return seen.machine, seen.machine.Gone || when.Sub(seen.at) <= timeToLive
	}
	return outside.Machine{}, false
}
