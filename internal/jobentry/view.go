package jobentry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/schedulerhost"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/tablewatch"
)

// OperatorRows reads the rows that operators write.
type OperatorRows struct {
	// Table is the table's name and ConfigKey the key of the configuration.
	Table, ConfigKey string
	// DecodeConfig decodes the row of the configuration.
	DecodeConfig func(storeapi.Row) (*queueconfig.Config, error)
	// EvacuatedZone returns the zone that a row's key takes out of service.
	EvacuatedZone func(key string) (model.AvailabilityZoneName, bool)
}

// Ages of the view.
const (
	// freshFor is the age up to which the view decides without another read.
	freshFor = 400 * time.Millisecond
	// maxAge is the age beyond which nothing is decided by the view. It leaves
	// room inside the platform's 2 s for a new configuration.
	maxAge = 1600 * time.Millisecond
	// watchWait is how long one read waits for changes, well below maxAge.
	watchWait = 500 * time.Millisecond
	// longestPause is the longest pause between two reads that fail; callers are
	// refused until one succeeds.
	longestPause = 200 * time.Millisecond
)

// View is what operators configured, as this entry host knows it. It never goes
// back to an earlier version.
type View struct {
	rows  OperatorRows
	store storeapi.Store
	log   *zap.Logger
	watch *tablewatch.Watch
	// reading lets one read at a time refresh the view.
	reading sync.Mutex

	mu        sync.Mutex
	config    *queueconfig.Config
	version   storeapi.RowVersion
	evacuated map[model.AvailabilityZoneName]storeapi.RowVersion
	// lifted holds the version at which a zone was last taken back.
	lifted map[model.AvailabilityZoneName]storeapi.RowVersion
	// configAsOf is when the last read that showed the configuration was sent.
	configAsOf time.Time
}

// NewView returns a view that knows nothing.
func NewView(rows OperatorRows, store storeapi.Store, log *zap.Logger) *View {
	v := &View{
		rows: rows, store: store, log: log,
		evacuated: map[model.AvailabilityZoneName]storeapi.RowVersion{},
		lifted:    map[model.AvailabilityZoneName]storeapi.RowVersion{},
	}
	settings := tablewatch.DefaultSettings()
	settings.Wait, settings.LongestPause = watchWait, longestPause
	v.watch = tablewatch.New(settings, store, rows.Table, rows.Table+"/", tablewatch.Handler{
		Scanned: v.scanned,
		Changed: v.changed,
		Failed:  func(err error) { log.Warn("store_read_failed", zap.String("table", rows.Table), logging.Err(err)) },
	})
	return v
}

// Run follows the operators' rows until ctx is done.
func (v *View) Run(ctx context.Context) { v.watch.Run(ctx, 0) }

func (v *View) scanned(s storeapi.Snapshot) {
	present := map[model.AvailabilityZoneName]bool{}
	for _, row := range s.Rows {
		if zone, found := v.rows.EvacuatedZone(row.Key); found {
			present[zone] = true
		}
		v.take(storeapi.Change{Row: row})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	maps.DeleteFunc(v.evacuated, func(zone model.AvailabilityZoneName, version storeapi.RowVersion) bool {
		return !present[zone] && version <= s.Version
	})
}

func (v *View) changed(changes []storeapi.Change) {
	for _, change := range changes {
		v.take(change)
	}
}

func (v *View) take(change storeapi.Change) {
	if zone, found := v.rows.EvacuatedZone(change.Key); found {
		v.takeZone(zone, change)
		return
	}
	if change.Key == v.rows.ConfigKey && !change.Deleted {
		v.takeConfig(change.Row)
	}
}

func (v *View) takeZone(zone model.AvailabilityZoneName, change storeapi.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, out := v.evacuated[zone]
	switch {
	case change.Deleted && change.Version >= v.evacuated[zone]:
		delete(v.evacuated, zone)
		v.lifted[zone] = change.Version
	case !change.Deleted && change.Version > v.lifted[zone]:
		v.evacuated[zone] = change.Version
	}
	if _, now := v.evacuated[zone]; now != out {
		v.log.Info("zone_changed", zap.String("zone", string(zone)), zap.Bool("evacuated", now), zap.Uint64("version", uint64(change.Version)))
	}
}

// takeConfig takes in the row of the configuration, unless it is older.
func (v *View) takeConfig(row storeapi.Row) {
	v.mu.Lock()
	known := v.version
	v.mu.Unlock()
	if row.Version <= known {
		return
	}
	config, err := v.rows.DecodeConfig(row)
	if err != nil {
		v.log.Error("configuration_malformed", zap.Uint64("row_version", uint64(row.Version)), logging.Err(err))
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if row.Version <= v.version {
		return
	}
	v.config, v.version = config, row.Version
	v.log.Info("configuration_taken", zap.Uint64("version", config.Version), zap.Int("queues", len(config.Queues)), zap.Int("accounts", len(config.Accounts)))
}

// asOf returns the newest instant up to which the configuration is known.
func (v *View) asOf() time.Time {
	watched := v.watch.AsOf()
	v.mu.Lock()
	defer v.mu.Unlock()
	if watched.After(v.configAsOf) {
		return watched
	}
	return v.configAsOf
}

// Ready reports whether the view is fresh enough to decide by.
func (v *View) Ready() bool {
	v.mu.Lock()
	known := v.config != nil
	v.mu.Unlock()
	return known && time.Since(v.asOf()) <= maxAge
}

// Config returns the configuration to decide a call by, read anew when what is
// known is not fresh. It returns false when that fails and the view is too old.
func (v *View) Config(ctx context.Context) (*queueconfig.Config, time.Duration, bool) {
	if time.Since(v.asOf()) > freshFor && !v.StoreAway() {
		v.refresh(ctx)
	}
	age := time.Since(v.asOf())
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config, age, v.config != nil && age <= maxAge
}

// StoreAway reports whether the last read of the operators' rows failed. The
// watch asks again soon; calls need not wait for the same answer.
func (v *View) StoreAway() bool { return v.watch.Failing() }

func (v *View) refresh(ctx context.Context) {
	v.reading.Lock()
	defer v.reading.Unlock()
	if time.Since(v.asOf()) <= freshFor {
		return
	}
	sentAt := time.Now()
	row, err := v.store.Get(ctx, v.rows.ConfigKey)
	if err != nil {
		if !errors.Is(err, storeapi.ErrNotFound) {
			v.log.Warn("configuration_not_read", logging.Err(err), zap.Duration("age", time.Since(v.asOf())))
		}
		return
	}
	v.takeConfig(row)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configAsOf = sentAt
}

// Scheduling returns what the scheduler needs of the view.
func (v *View) Scheduling() schedulerhost.View {
	// Evacuations are known by the watch alone.
	out := schedulerhost.View{AsOf: v.watch.AsOf(), Evacuated: map[model.AvailabilityZoneName]bool{}}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return schedulerhost.View{}
	}
	out.Guaranteed = v.config.Guaranteed()
	for zone := range v.evacuated {
		out.Evacuated[zone] = true
	}
	return out
}
