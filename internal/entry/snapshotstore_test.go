package entry

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// snapshotWorld is a snapshot store over the platform's stand-in.
type snapshotWorld struct {
	t       *testing.T
	store   *snapshotStore
	objects *recordedObjects
	table   *doubtfulTable
	check   ownerCheck
	saved   *scheduler.Snapshot
}

// recordedObjects is an object store whose contents a test can spoil.
type recordedObjects struct {
	values map[string][]byte
	// cut halves each value that is stored, and answers in doubt.
	cut bool
}

func (o *recordedObjects) PutObject(_ context.Context, key string, value []byte) error {
	if o.cut {
		o.values[key] = value[:len(value)/2]
		return storeapi.ErrInDoubt
	}
	o.values[key] = value
	return nil
}

func (o *recordedObjects) GetObject(_ context.Context, key string) ([]byte, error) {
	value, known := o.values[key]
	if !known {
		return nil, storeapi.ErrNotFound
	}
	return value, nil
}

// doubtfulTable loses answers, after the write or in place of it.
type doubtfulTable struct {
	*standin.Store
	loseAnswer, loseWrite bool
}

func (d *doubtfulTable) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	if d.loseWrite {
		return nil, storeapi.ErrInDoubt
	}
	versions, err := d.Store.Commit(ctx, tx)
	if d.loseAnswer {
		return nil, storeapi.ErrInDoubt
	}
	return versions, err
}

func newSnapshotWorld(t *testing.T) *snapshotWorld {
	t.Helper()
	w := &snapshotWorld{
		t: t, objects: &recordedObjects{values: map[string][]byte{}},
		table: &doubtfulTable{Store: standin.NewStore(time.Now)},
	}
	w.store = &snapshotStore{table: w.table, objects: w.objects, region: "nordeste"}
	versions, err := w.table.Commit(context.Background(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "lease"}}})
	if err != nil {
		t.Fatal(err)
	}
	w.check = ownerCheck{epoch: 7, check: storeapi.Check{Key: "lease", Version: versions[0]}}
	return w
}

// snapshotOf returns a state with many jobs, of which one changes with number.
func snapshotOf(number int) *scheduler.Snapshot {
	const jobs = 40
	s := &scheduler.Snapshot{Epoch: 7}
	for i := range jobs {
		s.Jobs = append(s.Jobs, scheduler.JobState{Job: model.Job{ID: model.JobID(fmt.Sprintf("job-%03d", i))}})
	}
	s.Jobs[number%jobs].Attempt = uint64(number)
	s.Ended = []model.JobID{model.JobID(fmt.Sprint(number))}
	return s
}

func (w *snapshotWorld) save(number int) error {
	next := snapshotOf(number)
	err := w.store.save(context.Background(), next, w.check)
	if err == nil {
		w.saved = next
	}
	return err
}

func (w *snapshotWorld) mustSave(numbers ...int) {
	w.t.Helper()
	for _, number := range numbers {
		if err := w.save(number); err != nil {
			w.t.Fatalf("save %d: %v", number, err)
		}
	}
}

// loadedAs checks what a successor loads.
func (w *snapshotWorld) loadedAs(want *scheduler.Snapshot, cause error) {
	w.t.Helper()
	successor := &snapshotStore{table: w.table, objects: w.objects, region: "nordeste"}
	got, err := successor.load(context.Background())
	if !errors.Is(err, cause) {
		w.t.Errorf("error %v, want %v", err, cause)
	}
	if !reflect.DeepEqual(got, want) {
		w.t.Errorf("loaded %+v, want %+v", got, want)
	}
}

func TestSnapshotsAreStoredAsSegments(t *testing.T) {
	w := newSnapshotWorld(t)
	w.loadedAs(nil, nil)
	for number := range 2*maxSegments + 4 {
		w.mustSave(number)
		w.loadedAs(w.saved, nil)
	}
	wholes := 0
	for key, value := range w.objects.values {
		if !strings.Contains(key, "/segment/") {
			wholes++
			continue
		}
		if whole := len(w.objects.values[w.store.row.Object]); len(value) > whole/4 {
			t.Errorf("%s has %d bytes, the whole %d", key, len(value), whole)
		}
	}
	if wholes != 2 || len(w.objects.values) > 2*(maxSegments+1) {
		t.Errorf("%d whole objects of %d", wholes, len(w.objects.values))
	}
}

// TestSuccessorFallsBackToWhatIsComplete spoils one object after four saves: a
// whole snapshot (number 0) and segments for 1, 2 and 3.
func TestSuccessorFallsBackToWhatIsComplete(t *testing.T) {
	const whole = "scheduler/nordeste/7/0"
	cases := []struct {
		name  string
		spoil func(values map[string][]byte)
		// last is the number of the state that is still complete, negative for none.
		last int
	}{
		{"segment missing", func(v map[string][]byte) { delete(v, whole+"/segment/1") }, 1},
		{"segment cut", func(v map[string][]byte) { v[whole+"/segment/2"] = v[whole+"/segment/2"][:20] }, 2},
		{"segment of another write", func(v map[string][]byte) { v[whole+"/segment/0"] = v[whole+"/segment/2"] }, 0},
		{"whole cut", func(v map[string][]byte) { v[whole] = v[whole][:20] }, -1},
		{"whole missing", func(v map[string][]byte) { delete(v, whole) }, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSnapshotWorld(t)
			w.mustSave(0, 1, 2, 3)
			c.spoil(w.objects.values)
			successor := &snapshotStore{table: w.table, objects: w.objects, region: "nordeste"}
			got, err := successor.load(context.Background())
			if err == nil {
				t.Error("no error, so no event")
			}
			if (got == nil) != (c.last < 0) || got != nil && !reflect.DeepEqual(got, snapshotOf(c.last)) {
				t.Errorf("loaded %+v, want state %d", got, c.last)
			}
		})
	}
}

func TestFailedSavesDestroyNothing(t *testing.T) {
	cases := []struct {
		name string
		set  func(w *snapshotWorld, failing bool)
		// lands is set when a failed save takes effect all the same.
		lands bool
	}{
		{"object written half", func(w *snapshotWorld, failing bool) { w.objects.cut = failing }, false},
		{"row not written", func(w *snapshotWorld, failing bool) { w.table.loseWrite = failing }, false},
		{"row written, answer lost", func(w *snapshotWorld, failing bool) { w.table.loseAnswer = failing }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSnapshotWorld(t)
			number := 0
			for range 2 * maxSegments {
				w.mustSave(number, number+1)
				c.set(w, true)
				for _, tried := range []int{number + 2, number + 3} {
					if w.save(tried) == nil {
						t.Fatal("no error")
					}
					if c.lands {
						w.loadedAs(snapshotOf(tried), nil)
					} else {
						w.loadedAs(w.saved, nil)
					}
				}
				c.set(w, false)
				number += 4
			}
			w.mustSave(number)
			w.loadedAs(w.saved, nil)
		})
	}
}

func TestDeposedOwnerStoresNoSnapshot(t *testing.T) {
	w := newSnapshotWorld(t)
	w.mustSave(0, 1)
	if _, err := w.table.Commit(context.Background(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "lease"}}}); err != nil {
		t.Fatal(err)
	}
	if err := w.save(2); !errors.Is(err, storeapi.ErrConflict) {
		t.Errorf("got %v, want a conflict", err)
	}
	w.loadedAs(w.saved, nil)
}

func TestWholeThatReplacedAnotherTakesNoneOfItsSegments(t *testing.T) {
	w := newSnapshotWorld(t)
	w.mustSave(0, 1, 2)
	// A frozen store applies the row of the first whole once its name is used again.
	late := snapshotOf(9)
	if _, err := w.store.putJSON(context.Background(), w.store.row.Object, late); err != nil {
		t.Fatal(err)
	}
	w.loadedAs(late, errSegment)
}
