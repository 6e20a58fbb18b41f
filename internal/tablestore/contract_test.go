package tablestore

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// longTimeout bounds calls that are expected to get a response.
const longTimeout = 30 * time.Second

// shortTimeout bounds calls that are expected to get no response.
const shortTimeout = 100 * time.Millisecond

// service is an implementation under test, with its backing store.
type service struct {
	storeapi.Table
	storeapi.ObjectStore
	store *standin.Store
}

// implementations returns the constructors of all implementations.
func implementations() map[string]func(t *testing.T, callTimeout time.Duration) service {
	return map[string]func(t *testing.T, callTimeout time.Duration) service{
		"in process": func(_ *testing.T, _ time.Duration) service {
			store := standin.NewStore(time.Now)
			return service{store, store, store}
		},
		"client over HTTP": func(t *testing.T, callTimeout time.Duration) service {
			store := standin.NewStore(time.Now)
			client := newTestClient(t, store, callTimeout)
			return service{client, client, store}
		},
	}
}

func newTestClient(t *testing.T, store *standin.Store, callTimeout time.Duration) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: store.Serve, Logger: silentLogger{}}
	go func() { _ = server.Serve(listener) }()
	options := DefaultOptions("http://"+listener.Addr().String(), "http://"+listener.Addr().String())
	options.CallTimeout, options.OperationTimeout = callTimeout, 4*callTimeout
	client := New(options)
	client.SetRoster(1, true)
	t.Cleanup(func() {
		client.Close()
		store.SetFaults(standin.ServiceTable, standin.Faults{})
		store.SetFaults(standin.ServiceObjects, standin.Faults{})
		_ = listener.Close()
	})
	return client
}

type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

// contractCase is a test case that every implementation of both services must pass.
type contractCase struct {
	name string
	// setup runs without faults; then the faults are injected and run is called.
	setup        func(t *testing.T, s service)
	tableFaults  standin.Faults
	objectFaults standin.Faults
	run          func(t *testing.T, s service)
	// afterRecovery runs after the faults were cleared, directly on the store.
	afterRecovery func(t *testing.T, s service)
}

func (c contractCase) callTimeout() time.Duration {
	if c.tableFaults.Freeze || c.tableFaults.Silent || c.tableFaults.DelayMS > 0 || c.objectFaults != (standin.Faults{}) {
		return shortTimeout
	}
	return longTimeout
}

func put(key, value string, checks ...storeapi.Check) storeapi.Transaction {
	return storeapi.Transaction{Checks: checks, Puts: []storeapi.Put{{Key: key, Value: []byte(value)}}}
}

func commit(t *testing.T, s service, tx storeapi.Transaction, want error) []storeapi.RowVersion {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	if want != nil && !errors.Is(want, storeapi.ErrConflict) {
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), 4*shortTimeout)
	}
	defer cancel()
	versions, err := s.Commit(ctx, tx)
	if !errors.Is(err, want) {
		t.Fatalf("commit: got %v, want %v", err, want)
	}
	return versions
}

func mustGet(t *testing.T, s service, key, value string) storeapi.Row {
	t.Helper()
	row, err := s.Get(context.Background(), key)
	if err != nil || string(row.Value) != value || row.Key != key {
		t.Fatalf("row %q: got %+v, %v; want value %q", key, row, err, value)
	}
	return row
}

func wantReadError(t *testing.T, s service, key string, want error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	if errors.Is(want, storeapi.ErrUnavailable) {
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), 4*shortTimeout)
	}
	defer cancel()
	if _, err := s.Get(ctx, key); !errors.Is(err, want) {
		t.Fatalf("row %q: got %v, want %v", key, err, want)
	}
}

func TestContract(t *testing.T) {
	var cases []contractCase
	cases = append(cases, tableCases()...)
	cases = append(cases, tableFaultCases()...)
	cases = append(cases, objectCases()...)
	for name, construct := range implementations() {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				s := construct(t, c.callTimeout())
				if c.setup != nil {
					c.setup(t, s)
				}
				s.store.SetFaults(standin.ServiceTable, c.tableFaults)
				s.store.SetFaults(standin.ServiceObjects, c.objectFaults)
				c.run(t, s)
				s.store.SetFaults(standin.ServiceTable, standin.Faults{})
				s.store.SetFaults(standin.ServiceObjects, standin.Faults{})
				if c.afterRecovery != nil {
					s.Table, s.ObjectStore = s.store, s.store
					c.afterRecovery(t, s)
				}
			})
		}
	}
}

func tableCases() []contractCase {
	return []contractCase{
		{name: "absent row", run: func(t *testing.T, s service) { wantReadError(t, s, "k", storeapi.ErrNotFound) }},
		{name: "put and get", run: func(t *testing.T, s service) {
			versions := commit(t, s, put("k", "v"), nil)
			if row := mustGet(t, s, "k", "v"); row.Version != versions[0] {
				t.Errorf("read version %d, written %d", row.Version, versions[0])
			}
		}},
		{name: "keys and values of any bytes", run: func(t *testing.T, s service) {
			for _, key := range []string{"a/b c", "a?b&c=d", "a%2Fb", "é+#", "k\x01"} {
				commit(t, s, put(key, "\x00\xff"+key), nil)
				mustGet(t, s, key, "\x00\xff"+key)
			}
		}},
		{name: "check of absence", run: func(t *testing.T, s service) {
			commit(t, s, put("k", "v", storeapi.Check{Key: "k"}), nil)
			commit(t, s, put("k", "w", storeapi.Check{Key: "k"}), storeapi.ErrConflict)
			mustGet(t, s, "k", "v")
		}},
		{name: "failed check changes nothing", run: func(t *testing.T, s service) {
			tx := storeapi.Transaction{
				Checks:  []storeapi.Check{{Key: "x", Version: 99}},
				Puts:    []storeapi.Put{{Key: "a"}, {Key: "b"}},
				Deletes: []string{"k"},
			}
			commit(t, s, put("k", "v"), nil)
			commit(t, s, tx, storeapi.ErrConflict)
			wantReadError(t, s, "a", storeapi.ErrNotFound)
			mustGet(t, s, "k", "v")
		}},
		{name: "recreated row has another version", run: func(t *testing.T, s service) {
			first := commit(t, s, put("k", "v"), nil)
			commit(t, s, storeapi.Transaction{Deletes: []string{"k"}}, nil)
			commit(t, s, put("k", "v"), nil)
			commit(t, s, put("k", "w", storeapi.Check{Key: "k", Version: first[0]}), storeapi.ErrConflict)
		}},
		{name: "list", run: testList},
		{name: "racing transactions", run: testRace},
	}
}

func testList(t *testing.T, s service) {
	for _, key := range []string{"p/3", "p/1", "q/1", "p/2", "p"} {
		commit(t, s, put(key, key), nil)
	}
	cases := []struct {
		prefix, after string
		limit         int
		want          string
	}{
		{"p/", "", 10, "[p/1 p/2 p/3]"}, {"p/", "p/1", 10, "[p/2 p/3]"}, {"p/", "", 2, "[p/1 p/2]"},
		{"p/", "p/3", 10, "[]"}, {"none", "", 10, "[]"}, {"", "", 10, "[p p/1 p/2 p/3 q/1]"}, {"p/", "", 0, "[]"},
	}
	for _, c := range cases {
		rows, err := s.List(context.Background(), c.prefix, c.after, c.limit)
		keys := []string{}
		for _, row := range rows {
			keys = append(keys, row.Key)
		}
		if got := fmt.Sprint(keys); err != nil || got != c.want {
			t.Errorf("list %+v: got %s, %v", c, got, err)
		}
	}
}

// testRace runs concurrent transactions on each of several rows. Exactly one must
// win each row, and a failed check must fail only its own transaction.
func testRace(t *testing.T, s service) {
	const rows, racers = 8, 5
	var mu sync.Mutex
	var group sync.WaitGroup
	wins, conflicts := map[string]int{}, 0
	for i := range rows * racers {
		key := fmt.Sprint("r", i%rows)
		group.Add(1)
		go func() {
			defer group.Done()
			_, err := s.Commit(context.Background(), put(key, fmt.Sprint(i), storeapi.Check{Key: key}))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				wins[key]++
			case errors.Is(err, storeapi.ErrConflict):
				conflicts++
			default:
				t.Errorf("row %s: %v", key, err)
			}
		}()
	}
	group.Wait()
	for key, count := range wins {
		if count != 1 {
			t.Errorf("row %s was won %d times", key, count)
		}
	}
	if len(wins) != rows || conflicts != rows*(racers-1) {
		t.Errorf("%d rows won, %d conflicts", len(wins), conflicts)
	}
}

func tableFaultCases() []contractCase {
	return []contractCase{
		{
			name: "down", tableFaults: standin.Faults{Down: true},
			setup: func(t *testing.T, s service) { commit(t, s, put("k", "v"), nil) },
			run: func(t *testing.T, s service) {
				commit(t, s, put("k", "w"), storeapi.ErrUnavailable)
				wantReadError(t, s, "k", storeapi.ErrUnavailable)
			},
			afterRecovery: func(t *testing.T, s service) { mustGet(t, s, "k", "v") },
		},
		{
			name: "response lost after the write took effect", tableFaults: standin.Faults{LoseAnswers: 1},
			run:           func(t *testing.T, s service) { commit(t, s, put("k", "v"), storeapi.ErrInDoubt) },
			afterRecovery: func(t *testing.T, s service) { mustGet(t, s, "k", "v") },
		},
		{
			name: "response lost, then the same transaction again", tableFaults: standin.Faults{LoseAnswers: 1},
			run: func(t *testing.T, s service) {
				tx := put("k", "v", storeapi.Check{Key: "k"})
				commit(t, s, tx, storeapi.ErrInDoubt)
				commit(t, s, tx, storeapi.ErrConflict)
			},
		},
		{
			name: "frozen: the write takes effect when the service resumes", tableFaults: standin.Faults{Freeze: true},
			run:           func(t *testing.T, s service) { commit(t, s, put("k", "v"), storeapi.ErrInDoubt) },
			afterRecovery: func(t *testing.T, s service) { mustGet(t, s, "k", "v") },
		},
		{
			name: "frozen: reads", tableFaults: standin.Faults{Freeze: true},
			run: func(t *testing.T, s service) { wantReadError(t, s, "k", storeapi.ErrUnavailable) },
		},
		{
			name: "silent connection: no effect", tableFaults: standin.Faults{Silent: true},
			run: func(t *testing.T, s service) {
				commit(t, s, put("k", "v"), storeapi.ErrInDoubt)
				wantReadError(t, s, "k", storeapi.ErrUnavailable)
			},
			afterRecovery: func(t *testing.T, s service) { wantReadError(t, s, "k", storeapi.ErrNotFound) },
		},
		{
			name: "slower than the deadline", tableFaults: standin.Faults{DelayMS: 3000},
			run: func(t *testing.T, s service) { commit(t, s, put("k", "v"), storeapi.ErrInDoubt) },
		},
		{
			name: "object store down: the table service keeps working", objectFaults: standin.Faults{Down: true},
			run: func(t *testing.T, s service) { commit(t, s, put("k", "v"), nil) },
		},
	}
}

func objectCases() []contractCase {
	value := bytes.Repeat([]byte{0, 1, 255}, 50_000)
	store := func(t *testing.T, s service) {
		if err := s.PutObject(context.Background(), "a/b c", value); err != nil {
			t.Fatal(err)
		}
	}
	fetch := func(t *testing.T, s service) {
		got, err := s.GetObject(context.Background(), "a/b c")
		if err != nil || !bytes.Equal(got, value) {
			t.Fatalf("got %d bytes, %v", len(got), err)
		}
	}
	putFails := func(want error) func(t *testing.T, s service) {
		return func(t *testing.T, s service) {
			ctx, cancel := context.WithTimeout(context.Background(), 4*shortTimeout)
			defer cancel()
			if err := s.PutObject(ctx, "a/b c", value); !errors.Is(err, want) {
				t.Fatalf("put: got %v, want %v", err, want)
			}
		}
	}
	return []contractCase{
		{name: "object put and get", run: func(t *testing.T, s service) { store(t, s); fetch(t, s) }},
		{name: "object absent", run: func(t *testing.T, s service) {
			if _, err := s.GetObject(context.Background(), "a"); !errors.Is(err, storeapi.ErrNotFound) {
				t.Errorf("got %v", err)
			}
		}},
		{name: "objects down", objectFaults: standin.Faults{Down: true}, run: putFails(storeapi.ErrUnavailable)},
		{name: "objects frozen", objectFaults: standin.Faults{Freeze: true}, run: putFails(storeapi.ErrInDoubt), afterRecovery: fetch},
		{name: "object store responses lost", objectFaults: standin.Faults{LoseAnswers: -1}, run: putFails(storeapi.ErrInDoubt), afterRecovery: fetch},
		{name: "table service down: the object store keeps working", tableFaults: standin.Faults{Down: true},
			run: func(t *testing.T, s service) { store(t, s); fetch(t, s) }},
	}
}
