package jobprotocol

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"sort"
	"strings"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// digest returns a hash of a world that leaves out versions and times.
func (w *world) digest() uint64 {
	var d digester
	d.value(reflect.ValueOf(w.late))
	d.text(fmt.Sprint(w.cancelled, w.failures, len(w.lastDone), w.acknowledged, w.finalState))
	for _, host := range w.hosts {
		a := w.agents[host]
		d.value(reflect.ValueOf(a.core))
		d.text(fmt.Sprint(a.loaded, a.worker.incarnation, a.worker.running, a.worker.ended, a.worker.highestRun, a.worker.clockMS() > a.worker.leaseEndMS))
		var row workload.Announcement
		if stored := w.get(workload.WorkerKey(host)); stored.Version != 0 {
			w.decode(stored, &row)
		}
		d.value(reflect.ValueOf(row))
		d.text(fmt.Sprint((w.nowMS - row.SentMS) / silenceBucketMS))
	}
	for _, o := range []*owner{w.owner, w.formerOwner} {
		if o != nil {
			d.text(fmt.Sprint(o.deposed))
			d.value(reflect.ValueOf(o.core))
		}
	}
	d.value(reflect.ValueOf(w.progress()))
	for _, row := range w.endRows() {
		d.text(row.Key)
	}
	for _, table := range workload.OrderTables() {
		for _, row := range w.scan(table + "/").Rows {
			order, _ := w.decodeOrder(row)
			d.text(fmt.Sprint(row.Key, order.Stop, w.nowMS > order.StartByMS))
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.out.String()))
	return h.Sum64()
}

// silenceBucketMS is the resolution at which the time since an agent's last
// announcement distinguishes worlds.
const silenceBucketMS = 3_000

// digester writes values in a fixed order. It leaves out versions, functions, the
// fields named decisions and notes, and times, whose field names end in MS or At.
type digester struct {
	out     strings.Builder
	visited map[uintptr]int
}

func (d *digester) text(s string) {
	d.out.WriteString(s)
	d.out.WriteByte('|')
}

var excludedTypes = map[reflect.Type]bool{
	reflect.TypeFor[time.Time](): true, reflect.TypeFor[storeapi.RowVersion](): true,
}

func (d *digester) value(v reflect.Value) {
	if !v.IsValid() || excludedTypes[v.Type()] {
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		d.pointer(v)
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Field(i).Name
			if !strings.HasSuffix(name, "MS") && !strings.HasSuffix(name, "At") && name != "decisions" && name != "notes" {
				d.value(v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		d.text(fmt.Sprint(v.Len()))
		for i := range v.Len() {
			d.value(v.Index(i))
		}
	case reflect.Map:
		d.entries(v)
	case reflect.Func, reflect.Chan:
	default:
		d.text(fmt.Sprint(v))
	}
}

func (d *digester) pointer(v reflect.Value) {
	if v.IsNil() {
		d.text("nil")
		return
	}
	if v.Kind() == reflect.Interface {
		d.value(v.Elem())
		return
	}
	if d.visited == nil {
		d.visited = map[uintptr]int{}
	}
	if n, known := d.visited[v.Pointer()]; known {
		d.text(fmt.Sprint("seen", n))
		return
	}
	d.visited[v.Pointer()] = len(d.visited)
	d.value(v.Elem())
}

// entries writes a map in the order of its keys' text, which is fixed since no map
// of the cores has pointers as keys.
func (d *digester) entries(v reflect.Value) {
	keys := v.MapKeys()
	sort.Slice(keys, func(i, j int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[j]) })
	d.text(fmt.Sprint(len(keys)))
	for _, key := range keys {
		d.text(fmt.Sprint(key))
		if !strings.HasSuffix(v.Type().Elem().Name(), "MS") {
			d.value(v.MapIndex(key))
		}
	}
}
