package streamorigin

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/tablesync"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Table is the name of the store table with the software versions of each service. A row's name is the service.
const Table = "versions"

const (
	// readTimeout is the timeout of a read of one row, for which a client waits.
	readTimeout = 150 * time.Millisecond
	// feedStaleness sets the duration of the long polls for this table, which rarely changes. A node whose feed is late
	// reads the row when it matters (see SoleVersion).
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

// RowStore is the store as rows are read and written, and whether calls to it have just failed.
type RowStore interface {
	store.Store
	// Suspect reports whether the store may be unreachable.
	Suspect() bool
}

// VersionsOptions configures Versions.
type VersionsOptions struct {
	// Feed is the store as the table is followed, and Store as rows are read and written.
	Feed  store.Store
	Store RowStore
	// Listed returns the software versions of the workers of a service that this node lists.
	Listed func(service string) []string
	// OnChange is called after the versions of a service have changed, and OnLoad after the table was read as a whole.
	OnChange func(service string)
	OnLoad   func()
	Logger   log.Interface
}

// Versions knows the software versions that each service had workers of lately. A version is registered in the table before a
// stream begins at it, so that whoever reads a single version there knows at which one each stream began.
type Versions struct {
	options  VersionsOptions
	follower *tablesync.Follower

	mutex       sync.Mutex
	loaded      bool
	services    map[string]registered
	registering map[string]bool
	closed      atomic.Bool // Run has returned
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
	v.closed.Store(true)
}

// Loaded reports whether the table has been read.
func (v *Versions) Loaded() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.loaded
}

// Registered returns the registered versions of a service; restricted is false if the row is invalid, so that no version can be
// registered.
func (v *Versions) Registered(service string) (versions []string, restricted bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	known := v.services[service]
	return known.names(), !known.invalid
}

// Several reports whether a service may have workers of several versions, or will soon, by what this node knows without a call. It
// is true while the store may be unreachable, since nobody can then read the versions.
func (v *Versions) Several(service string) bool {
	if v.options.Store.Suspect() {
		return true
	}
	names, restricted := v.Registered(service)
	if !restricted || len(names) != 1 {
		return true
	}
	return slices.ContainsFunc(v.options.Listed(service), func(listed string) bool { return listed != names[0] })
}

// SoleVersion returns the only version at which streams of a service can have begun, by a read of the store that begins now; ok is
// false if there are several or if the store does not answer.
func (v *Versions) SoleVersion(ctx context.Context, service string) (version string, ok bool) {
	if names, restricted := v.Registered(service); !restricted || len(names) > 1 {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := v.options.Store.Range(ctx, Table, "", service, service+"\x00", 1)
	if err != nil {
		return "", false
	}
	v.change(page.Rows)
	names, restricted := v.Registered(service)
	if len(page.Rows) != 1 || !restricted || len(names) != 1 {
		return "", false
	}
	return names[0], true
}

func keyOf(service string) store.Key { return store.Key{Table: Table, Name: service} }

// replace replaces all rows.
func (v *Versions) replace(read tablesync.Snapshot) {
	services := make(map[string]registered, len(read.Rows))
	for _, row := range read.Rows {
		services[row.Name] = v.decode(row)
	}
	v.mutex.Lock()
	v.loaded, v.services = true, services
	v.mutex.Unlock()
	if v.options.OnLoad != nil {
		v.options.OnLoad()
	}
}

// change applies changed rows.
func (v *Versions) change(rows []store.Row) {
	for _, changed := range rows {
		v.apply(changed)
	}
}

// apply applies a row that is not older than the known one.
func (v *Versions) apply(changed store.Row) {
	next := v.decode(changed)
	v.mutex.Lock()
	stale := changed.Version < v.services[changed.Name].revision
	if !stale {
		v.services[changed.Name] = next
	}
	v.mutex.Unlock()
	if !stale && v.options.OnChange != nil {
		v.options.OnChange(changed.Name)
	}
}

// decode decodes a row; one that is gone or does not exist names no versions.
func (v *Versions) decode(read store.Row) registered {
	if read.Gone || read.Version == 0 {
		return registered{}
	}
	decoded := registered{revision: read.Version}
	if err := gob.NewDecoder(bytes.NewReader(read.Value)).Decode(&decoded.row); err != nil {
		decoded.row, decoded.invalid = row{}, true // parts of it may have been decoded
		v.options.Logger.WithError(err).WithField("service", read.Name).
			Warn("the row with the software versions of a service is invalid; its streams begin at any version and are all recorded at other nodes; remove the row")
	}
	return decoded
}
