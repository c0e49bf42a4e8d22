package streamorigin

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/tablesync"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Table is the name of the store table with the software versions of each service. A row's name is the service.
const Table = "versions"

const (
	// registerJitter is the window over which nodes register a version that they see at the same time, so that most of
	// them hear of the registration first.
	registerJitter = 200 * time.Millisecond
	// registerTimeout is the timeout of one write, and registerRetryDelay the time after a failed one.
	registerTimeout    = time.Second
	registerRetryDelay = time.Second
	// maxRegisterConflicts is how often a write is tried again after another node changed the row.
	maxRegisterConflicts = 4
	// A version that some node lists is renewed when its row says that it was last listed renewAfter ago. It is
	// dropped after forgetAfter, long after its last stream has ended.
	renewAfter  = 5 * time.Minute
	forgetAfter = 15 * time.Minute
	// renewInterval is the mean interval between a node's checks for these.
	renewInterval = time.Minute
	// feedStaleness sets the duration of the long polls for this table, which rarely changes. A node whose feed is late
	// still asks the holders of a stream's record.
	feedStaleness = 20 * time.Second
)

// listedVersion is a software version of a service that some node lists, or has listed lately. It is stored with gob.
type listedVersion struct {
	Name string
	// ListedAt is when a node last confirmed that it lists a worker of the version, in Unix seconds.
	ListedAt int64
}

// row is the stored form of a service's versions.
type row struct{ Versions []listedVersion }

// names returns the names of the versions.
func (r row) names() (names []string) {
	for _, version := range r.Versions {
		names = append(names, version.Name)
	}
	return names
}

// registered is the row of a service as last read.
type registered struct {
	row
	revision store.Version
	invalid  bool // the row cannot be decoded
}

// VersionsOptions configures Versions.
type VersionsOptions struct {
	// Feed is the store as the table is followed, and Store as rows are written.
	Feed, Store store.Store
	// Listed returns the software versions of the workers of a service that this node lists.
	Listed func(service string) []string
	// OnChange is called after the versions of a service have changed.
	OnChange func(service string)
	Logger   log.Interface
}

// Versions knows the software versions that each service had workers of lately. Nodes register a version when its first stream
// begins, and follow the table.
type Versions struct {
	options  VersionsOptions
	follower *tablesync.Follower

	mutex       sync.Mutex
	loaded      bool
	services    map[string]registered
	registering map[string]bool
	retryAt     time.Time // no registration is tried before
}

// NewVersions returns Versions that know nothing; Run reads the table.
func NewVersions(options VersionsOptions) *Versions {
	v := &Versions{options: options, services: map[string]registered{}, registering: map[string]bool{}}
	v.follower = tablesync.New(tablesync.Options{
		Store: options.Feed, Table: Table, Replace: v.replace, Change: v.change, MaxStaleness: feedStaleness, Logger: options.Logger,
	})
	return v
}

// Run follows the table and renews its rows until ctx ends.
func (v *Versions) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { v.follower.Run(ctx) })
	for timing.Sleep(ctx, renewInterval/2+rand.N(renewInterval)) == nil {
		v.renewAll(ctx)
	}
	running.Wait()
}

// Sole returns the only software version that a service has had workers of lately; ok is false if there may be several.
func (v *Versions) Sole(service string) (version string, ok bool) {
	v.mutex.Lock()
	known := v.services[service]
	v.mutex.Unlock()
	if known.invalid || len(known.Versions) != 1 {
		return "", false
	}
	version = known.Versions[0].Name
	return version, !slices.ContainsFunc(v.options.Listed(service), func(listed string) bool { return listed != version })
}

// Observe registers a version of a service in the background, unless it is registered.
func (v *Versions) Observe(service, version string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	known := v.services[service]
	if !v.loaded || known.invalid || v.registering[service] || time.Now().Before(v.retryAt) || slices.Contains(known.names(), version) {
		return
	}
	v.registering[service] = true
	go v.register(service, version)
}

// register adds a version to the row of a service.
func (v *Versions) register(service, version string) {
	ctx := context.Background()
	_ = timing.Sleep(ctx, rand.N(registerJitter))
	err := v.update(ctx, service, func(current row) (next row, changed bool) {
		if slices.Contains(current.names(), version) {
			return current, false
		}
		return row{append(slices.Clone(current.Versions), listedVersion{Name: version, ListedAt: time.Now().Unix()})}, true
	})
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.registering, service)
	if err != nil {
		v.retryAt = time.Now().Add(registerRetryDelay)
	}
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
		Warn("failed to register the software versions of a service; its streams are recorded at other nodes until that succeeds")
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

func keyOf(service string) store.Key { return store.Key{Table: Table, Name: service} }

// replace replaces all rows.
func (v *Versions) replace(read tablesync.Snapshot) {
	v.mutex.Lock()
	v.loaded = true
	v.services = map[string]registered{}
	v.mutex.Unlock()
	v.change(read.Rows)
}

// change applies changed rows.
func (v *Versions) change(rows []store.Row) {
	for _, changed := range rows {
		v.apply(changed)
	}
}

// apply applies a row that is not older than the known one.
func (v *Versions) apply(changed store.Row) {
	next := registered{revision: changed.Version}
	if !changed.Gone && changed.Version != 0 {
		if err := gob.NewDecoder(bytes.NewReader(changed.Value)).Decode(&next.row); err != nil {
			next.invalid = true
			v.options.Logger.WithError(err).WithField("service", changed.Name).
				Warn("the row with the software versions of a service is invalid; all its streams are recorded at other nodes; remove the row")
		}
	}
	if changed.Gone {
		next.revision = 0
	}
	v.mutex.Lock()
	known := v.services[changed.Name]
	stale := changed.Version < known.revision
	if !stale {
		v.services[changed.Name] = next
	}
	v.mutex.Unlock()
	if !stale && v.options.OnChange != nil {
		v.options.OnChange(changed.Name)
	}
}
