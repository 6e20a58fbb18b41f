package jobentry

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/schedulerhost"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/tablewatch"
)

// OperatorRows locates and decodes the rows that operators write.
type OperatorRows struct {
	// Table is the table's name and ConfigKey the key of the configuration row.
	Table, ConfigKey string
	// DecodeConfig decodes the configuration row.
	DecodeConfig func(storeapi.Row) (*queueconfig.Config, error)
	// EvacuationPrefix is the prefix of the keys of evacuated zones; empty if there is
	// none that leaves out the configuration.
	EvacuationPrefix string
	// EvacuatedZone returns the zone that the row with this key takes out of
	// service, and false for other keys.
	EvacuatedZone func(key string) (model.AvailabilityZoneName, bool)
}

// Age limits and read times of the view.
const (
	// maxViewAge is the age above which calls are rejected. It leaves a margin
	// within the platform's limit of 2 s for applying a new configuration.
	maxViewAge = 1600 * time.Millisecond
	// watchWait is how long one read of the watch waits for changes. While the store
	// answers, the view is younger than two such waits and two answers.
	watchWait = 400 * time.Millisecond
	// maxRetryPause is the maximum delay between two failing reads of the watch.
	// Calls are rejected until a read succeeds.
	maxRetryPause = 200 * time.Millisecond
)

// View is an entry host's copy of the operators' configuration and zone
// evacuations. It never returns to an earlier version. It is safe for concurrent
// use.
type View struct {
	rows  OperatorRows
	store storeapi.Store
	log   *zap.Logger
	watch *tablewatch.Watch
	// reads lets concurrent calls share one read of the configuration.
	reads singleflight.Group

	mu            sync.Mutex
	config        *queueconfig.Config
	configVersion storeapi.RowVersion
	evacuated     map[model.AvailabilityZoneName]storeapi.RowVersion
	// restored holds, by zone, the version at which its evacuation last ended.
	restored map[model.AvailabilityZoneName]storeapi.RowVersion
	// configAsOf is the time at which readConfig sent its last successful read.
	configAsOf time.Time
}

// NewView returns an empty view; Run and Config fill it from the store.
func NewView(rows OperatorRows, store storeapi.Store, log *zap.Logger) *View {
	v := &View{
		rows: rows, store: store, log: log,
		evacuated: map[model.AvailabilityZoneName]storeapi.RowVersion{},
		restored:  map[model.AvailabilityZoneName]storeapi.RowVersion{},
	}
	settings := tablewatch.DefaultSettings()
	settings.LongPollTimeout, settings.MaxBackoff = watchWait, maxRetryPause
	settings.RescanPrefix = rows.EvacuationPrefix
	v.watch = tablewatch.New(settings, store, rows.Table, rows.Table+"/", tablewatch.Handler{
		OnScan:      v.applySnapshot,
		OnChanges:   v.applyChanges,
		OnReadError: func(err error) { log.Warn("store_read_failed", zap.String("table", rows.Table), logging.Err(err)) },
	})
	return v
}

// Run watches the operators' rows until ctx is done.
func (v *View) Run(ctx context.Context) { v.watch.Run(ctx, 0) }

// applySnapshot applies a scan of the table, or of the evacuations only, and ends the
// evacuations that it no longer shows, unless they are newer than the scan.
func (v *View) applySnapshot(s storeapi.Snapshot) {
	present := map[model.AvailabilityZoneName]bool{}
	for _, row := range s.Rows {
		if zone, found := v.rows.EvacuatedZone(row.Key); found {
			present[zone] = true
		}
		v.apply(storeapi.Change{Row: row})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	maps.DeleteFunc(v.evacuated, func(zone model.AvailabilityZoneName, version storeapi.RowVersion) bool {
		return !present[zone] && version <= s.Version
	})
}

func (v *View) applyChanges(changes []storeapi.Change) {
	for _, change := range changes {
		v.apply(change)
	}
}

func (v *View) apply(change storeapi.Change) {
	if zone, found := v.rows.EvacuatedZone(change.Key); found {
		v.applyEvacuation(zone, change)
		return
	}
	if change.Key == v.rows.ConfigKey && !change.Deleted {
		v.applyConfig(change.Row)
	}
}

func (v *View) applyEvacuation(zone model.AvailabilityZoneName, change storeapi.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, wasEvacuated := v.evacuated[zone]
	switch {
	case change.Deleted && change.Version >= v.evacuated[zone]:
		delete(v.evacuated, zone)
		v.restored[zone] = change.Version
	case !change.Deleted && change.Version > v.restored[zone]:
		v.evacuated[zone] = change.Version
	}
	if _, isEvacuated := v.evacuated[zone]; isEvacuated != wasEvacuated {
		v.log.Info("zone_changed", zap.String("zone", string(zone)), zap.Bool("evacuated", isEvacuated), zap.Uint64("version", uint64(change.Version)))
	}
}

// applyConfig stores the decoded configuration of the row, unless the view has the
// same or a newer version.
func (v *View) applyConfig(row storeapi.Row) {
	v.mu.Lock()
	known := v.configVersion
	v.mu.Unlock()
	if row.Version <= known {
		return
	}
	config, err := v.rows.DecodeConfig(row)
	if err != nil {
		v.log.Error("configuration_malformed", zap.Uint64("row_version", uint64(row.Version)), logging.Err(err))
		return
	}
	findings := queueconfig.Check(config, queueconfig.Capacity{})
	v.mu.Lock()
	defer v.mu.Unlock()
	if row.Version <= v.configVersion {
		return
	}
	v.config, v.configVersion = config, row.Version
	v.log.Info("configuration_taken", zap.Uint64("version", config.Version), zap.Int("queues", len(config.Queues)), zap.Int("accounts", len(config.Accounts)))
	if len(findings) > 0 {
		first := findings[0]
		v.log.Warn("configuration_questionable", zap.Uint64("version", config.Version), zap.Int("findings", len(findings)),
			zap.String("key", fmt.Sprintf("%s %d %s", first.Object, first.Index, first.Field)), zap.String("reason", first.Message))
	}
}

// asOf returns the latest time at which the configuration was known to be current.
func (v *View) asOf() time.Time {
	watched := v.watch.AsOf()
	v.mu.Lock()
	defer v.mu.Unlock()
	if watched.After(v.configAsOf) {
		return watched
	}
	return v.configAsOf
}

// fresh reports whether the configuration is known not to be older than maxViewAge.
func (v *View) fresh() bool { return time.Since(v.asOf()) <= maxViewAge }

// Ready reports whether a configuration is loaded and not too old.
func (v *View) Ready() bool {
	v.mu.Lock()
	known := v.config != nil
	v.mu.Unlock()
	return known && v.fresh()
}

// Config returns the configuration and its age. If it is too old, it first waits for a
// read in progress, unless the watch is failing. It returns false if no configuration
// is loaded or it is still too old.
func (v *View) Config(ctx context.Context) (*queueconfig.Config, time.Duration, bool) {
	v.awaitFresh(ctx)
	age := time.Since(v.asOf())
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config, age, v.config != nil && age <= maxViewAge
}

// Limits returns what the newest configuration allows for a call, whatever its age. What
// is 0 is not limited.
func (v *View) Limits() (maxBodyBytes int, header queueconfig.HeaderLimits) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return 0, queueconfig.HeaderLimits{}
	}
	return v.config.MaxBodyBytes, v.config.Header
}

// StoreFailing reports whether the last read of the watch failed. The watch retries
// within maxRetryPause, so calls need not wait for a read of their own.
func (v *View) StoreFailing() bool { return v.watch.Failing() }

// awaitFresh waits until the view is fresh, the watch fails or ctx is done. Calls wait
// for the read that the watch has in progress, and make none of their own beside it: the
// configuration may be large and the link slow.
func (v *View) awaitFresh(ctx context.Context) {
	for !v.StoreFailing() {
		round, running := v.watch.NextRound()
		if v.fresh() {
			return
		}
		if !running {
			v.awaitRead(ctx)
			return
		}
		select {
		case <-round:
		case <-ctx.Done():
			return
		}
	}
}

// awaitRead reads the configuration, or waits for the read of another call, until ctx is
// done.
func (v *View) awaitRead(ctx context.Context) {
	read := v.reads.DoChan(v.rows.ConfigKey, func() (any, error) {
		v.readConfig(context.WithoutCancel(ctx))
		return nil, nil
	})
	select {
	case <-read:
	case <-ctx.Done():
	}
}

func (v *View) readConfig(ctx context.Context) {
	sentAt := time.Now()
	row, err := v.store.Get(ctx, v.rows.ConfigKey)
	if err != nil {
		if !errors.Is(err, storeapi.ErrNotFound) {
			v.log.Warn("configuration_not_read", logging.Err(err), zap.Duration("age", time.Since(v.asOf())))
		}
		return
	}
	v.applyConfig(row)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configAsOf = sentAt
}

// SchedulerView returns the guarantees and evacuated zones for the scheduler. It is
// the zero view while no configuration is loaded.
func (v *View) SchedulerView() schedulerhost.ConfigView {
	// Only the watch reads evacuations, so readConfig does not make them newer.
	out := schedulerhost.ConfigView{AsOf: v.watch.AsOf(), Evacuated: map[model.AvailabilityZoneName]bool{}}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return schedulerhost.ConfigView{}
	}
	out.Guaranteed = v.config.Guaranteed()
	for zone := range v.evacuated {
		out.Evacuated[zone] = true
	}
	return out
}
