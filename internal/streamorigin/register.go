package streamorigin

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// registerJitter is the window over which nodes register a version that they see at the same time, so that most of
	// them hear of the registration first.
	registerJitter = 100 * time.Millisecond
	// registerTimeout is the timeout of one write. After a failed one, there is a pause that grows from minRegisterPause to
	// maxRegisterPause: workers of the version get no streams meanwhile.
	registerTimeout  = 700 * time.Millisecond
	minRegisterPause = 50 * time.Millisecond
	maxRegisterPause = time.Second
	// maxRegisterConflicts is how often a write is tried again after another node changed the row.
	maxRegisterConflicts = 4
	// A version that some node lists is renewed when its row says that it was last listed renewAfter ago. It is
	// dropped after forgetAfter, long after its last stream has ended. renewInterval is the mean interval between a
	// node's checks for both.
	renewAfter    = 5 * time.Minute
	forgetAfter   = 15 * time.Minute
	renewInterval = time.Minute
)

// RegisterListed registers the listed versions of a service in the background, unless they are registered.
func (v *Versions) RegisterListed(service string) {
	listed := v.options.Listed(service)
	v.mutex.Lock()
	defer v.mutex.Unlock()
	known := v.services[service]
	if !v.loaded || known.invalid || v.registering[service] {
		return
	}
	if _, missing := known.withListed(listed, time.Now()); !missing {
		return
	}
	v.registering[service] = true
	go v.register(service)
}

// register adds the listed versions of a service to its row. It tries again until it succeeds or the versions are gone.
func (v *Versions) register(service string) {
	ctx := context.Background()
	pauses := timing.NewBackoff(minRegisterPause, maxRegisterPause)
	_ = timing.Sleep(ctx, rand.N(registerJitter))
	addListed := func(current row) (row, bool) { return current.withListed(v.options.Listed(service), time.Now()) }
	for v.update(ctx, service, addListed) != nil {
		_ = timing.Sleep(ctx, pauses.NextBackOff())
		if v.closed.Load() {
			break
		}
	}
	v.mutex.Lock()
	delete(v.registering, service)
	v.mutex.Unlock()
	if !v.closed.Load() {
		v.RegisterListed(service) // a version may have been listed after the last write
	}
}

// withListed returns the row with the listed versions added; changed is false if it has them all.
func (r row) withListed(listed []string, now time.Time) (next row, changed bool) {
	next.Versions = slices.Clone(r.Versions)
	for _, name := range listed {
		if !slices.Contains(r.names(), name) {
			next.Versions = append(next.Versions, listedVersion{Name: name, ListedAt: now.Unix()})
			changed = true
		}
	}
	return next, changed
}

// renewAll renews the rows whose versions this node lists, and drops versions that no node has listed for long.
func (v *Versions) renewAll(ctx context.Context) {
	v.mutex.Lock()
	services := make([]string, 0, len(v.services))
	for service := range v.services {
		services = append(services, service)
	}
	v.mutex.Unlock()
	for _, service := range services {
		listed := v.options.Listed(service)
		_ = v.update(ctx, service, func(current row) (row, bool) { return current.renewed(listed, time.Now()) })
	}
}

// renewed returns the row with the listed versions confirmed and those forgotten that were not confirmed for long. changed is
// false if there is nothing to write.
func (r row) renewed(listed []string, now time.Time) (next row, changed bool) {
	for _, version := range r.Versions {
		age := now.Sub(time.Unix(version.ListedAt, 0))
		switch {
		case slices.Contains(listed, version.Name) && age >= renewAfter:
			version.ListedAt = now.Unix()
			changed = true
		case !slices.Contains(listed, version.Name) && age >= forgetAfter:
			changed = true
			continue
		}
		next.Versions = append(next.Versions, version)
	}
	return next, changed
}

// update changes the row of a service. It tries again if another node has changed the row, and logs a failure.
func (v *Versions) update(ctx context.Context, service string, change func(row) (next row, changed bool)) error {
	var err error
	for range maxRegisterConflicts {
		v.mutex.Lock()
		known := v.services[service]
		v.mutex.Unlock()
		next, changed := change(known.row)
		if known.invalid || !changed {
			return nil
		}
		if err = v.write(ctx, service, known.revision, next); err == nil {
			v.options.Logger.WithField("service", service).WithField("before", known.names()).WithField("versions", next.names()).
				Info("registered the software versions of a service")
			return nil
		}
		var conflict *store.Conflict
		if !errors.As(err, &conflict) {
			break
		}
		v.apply(conflict.Find(keyOf(service)))
	}
	v.options.Logger.WithError(err).WithField("service", service).
		Warn("failed to register the software versions of a service; workers of new versions get no streams until that succeeds")
	return err
}

// write replaces the row of a service if it still has the given revision.
func (v *Versions) write(ctx context.Context, service string, revision store.Version, next row) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var value bytes.Buffer
	if err := gob.NewEncoder(&value).Encode(next); err != nil {
		return err
	}
	key := keyOf(service)
	written, err := v.options.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: revision}},
		Put:        []store.Row{{Key: key, Value: value.Bytes()}},
	})
	if err == nil {
		v.apply(store.Row{Key: key, Value: value.Bytes(), Version: written})
	}
	return err
}
