package workload

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// Tables of the store. The key of a row is "TABLE/REST", or "TABLE@PART/REST".
//
// The platform makes the transactions of one part one after another, 150 a
// second and far fewer while it is slow. So only the scheduler writes the part
// without a name; each host writes a part of its own, and jobs come in through
// several.
const (
	// TableInbox holds what entry hosts accepted: jobs and cancellations.
	TableInbox = "inbox"
	// TableProgress holds the progress of each job that began or ended.
	TableProgress = "progress"
	// TableWorkers holds the announcement of each worker, written by its agent.
	TableWorkers = "workers"
	// TableEnds holds ends of runs that the scheduler has not taken in yet.
	TableEnds = "ends"
	// TableControl holds the scheduler's lease and the counts of queues.
	TableControl = "control"
	// orderTables is over how many tables the orders are spread, so that a
	// change wakes few agents. The store allows 100 tables.
	orderTables = 72
)

// Keys of single rows and prefixes of row kinds.
const (
	prefixJob    = "job/"
	prefixCancel = "cancel/"
	// PrefixAllJobs is the prefix of a scan of all accepted jobs.
	PrefixAllJobs = TableInbox + "@" + storeapi.AllParts + "/" + prefixJob
	// KeyFence is the row that each transaction of the scheduler rewrites. Its
	// version chains them, so that one of a former owner is refused.
	KeyFence = TableControl + "/fence"
	// PrefixRelays begins the keys of the entry hosts that relay.
	PrefixRelays = TableControl + "@relay/"
	// KeyPending holds the number of jobs by queue that have not begun.
	KeyPending = TableControl + "/pending"
)

// LeaseKey returns the key of a row of the scheduler's lease.
func LeaseKey(name string) string { return storeapi.JoinKey(TableControl, "lease", name) }

// Parts of the inbox.
const (
	// inboxParts is over how many parts the inbox is spread.
	inboxParts = 16
	// inboxChoices is through how many of them one job may come in. The store may
	// refuse some parts and serve the others; a job that lies in several is one.
	inboxChoices = 4
)

// inboxKeys returns the keys of a row about a job, in the order in which the
// parts of the inbox are tried.
func inboxKeys(prefix string, id model.JobID) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	first := h.Sum32()
	keys := make([]string, inboxChoices)
	for i := range keys {
		part := fmt.Sprintf("in-%02d", (first+uint32(i)*inboxParts/inboxChoices)%inboxParts)
		keys[i] = storeapi.JoinKey(TableInbox, part, prefix+string(id))
	}
	return keys
}

// JobKeys returns the keys of a job's row, the one to try first before the others.
func JobKeys(id model.JobID) []string { return inboxKeys(prefixJob, id) }

// CancelKeys returns the keys of the row that cancels a job, like JobKeys.
func CancelKeys(id model.JobID) []string { return inboxKeys(prefixCancel, id) }

// hostPart returns the part that the agent of a host writes.
func hostPart(host string) string { return "h-" + host }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id model.JobID) string { return TableProgress + "/" + string(id) }

// WorkerKey returns the key of the announcement of the worker beside an agent.
func WorkerKey(host string) string { return storeapi.JoinKey(TableWorkers, hostPart(host), host) }

// OrderTable returns the table that holds the orders for a worker.
func OrderTable(host string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return fmt.Sprintf("orders-%02d", h.Sum32()%orderTables)
}

// OrderTables returns the names of all tables of orders.
func OrderTables() []string {
	names := make([]string, orderTables)
	for i := range names {
		names[i] = fmt.Sprintf("orders-%02d", i)
	}
	return names
}

// OrderPrefix returns the prefix of the keys of a worker's orders.
func OrderPrefix(host string) string { return OrderTable(host) + "/" + host + "/" }

// RunID names one run of a task.
type RunID struct {
	Task TaskRef
	Run  int
}

// String returns "TASK/RUN".
func (r RunID) String() string { return r.Task.String() + "/" + strconv.Itoa(r.Run) }

// ParseRunID parses what RunID.String returns.
func ParseRunID(text string) (RunID, error) {
	task, number, _ := strings.Cut(text, "/")
	ref, err := ParseTaskRef(task)
	if err != nil {
		return RunID{}, err
	}
	run, err := strconv.Atoi(number)
	if err != nil || run < 1 {
		return RunID{}, errors.Newf("run %q of task %q", number, task)
	}
	return RunID{ref, run}, nil
}

// EndKey returns the key of the end of a run, as the agent of a host reports it.
func EndKey(host string, run RunID) string {
	return storeapi.JoinKey(TableEnds, hostPart(host), run.String())
}

// SharedEndKey returns the key of the end of a run in the scheduler's own part,
// for an agent whose own part takes no writes.
func SharedEndKey(run RunID) string { return TableEnds + "/" + run.String() }

// EndsPrefix returns the prefix of the keys of the ends that a host reported.
func EndsPrefix(host string) string { return storeapi.JoinKey(TableEnds, hostPart(host), "") }

// Order tells the agent beside a worker to run a task, or to stop it.
type Order struct {
	Task string `codec:"t"`
	Run  int    `codec:"r"`
	// Host names the agent's machine, Worker its worker, and Incarnation the
	// life of the worker that the order is for.
	Host        string            `codec:"h"`
	Worker      model.WorkerID    `codec:"w"`
	Incarnation model.Incarnation `codec:"i"`
	Spec        string            `codec:"x"`
	Checkpoint  string            `codec:"c,omitempty"`
	// StartByMS is the store's time after which the task must not be started.
	StartByMS int64 `codec:"b"`
	// Stop asks for the end of the run.
	Stop bool `codec:"s,omitempty"`
}

// Key returns the key of the order's row.
func (o *Order) Key() string {
	return OrderPrefix(o.Host) + o.Task + "/" + strconv.Itoa(o.Run)
}

// ID returns the run that the order is for. It returns an error for an order
// that no scheduler writes.
func (o *Order) ID() (RunID, error) {
	ref, err := ParseTaskRef(o.Task)
	return RunID{ref, o.Run}, err
}

// EndKind says how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the worker's lease ran out.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not come.
	EndGangIncomplete EndKind = "alone"
	// EndLost means that the worker's life ended with the run.
	EndLost EndKind = "lost"
	// EndNotStarted means that the run never began and never will.
	EndNotStarted EndKind = "not_started"
)

// End tells how a run ended.
type End struct {
	Task string  `codec:"t"`
	Run  int     `codec:"r"`
	Host string  `codec:"h"`
	Kind EndKind `codec:"k"`
	// Checkpoint is the work that was saved; empty for none.
	Checkpoint string `codec:"c,omitempty"`
	// Detail says why a run was not started, for logs.
	Detail string `codec:"d,omitempty"`
}

// WorkerState is what a worker says of itself.
type WorkerState string

// States of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
	// WorkerGone is one that left or whose lease lapsed.
	WorkerGone WorkerState = "gone"
)

// RunningTask is a run that a worker reports.
type RunningTask struct {
	Task string `codec:"t"`
	Run  int    `codec:"r"`
	// Checkpoint is the work saved so far.
	Checkpoint string `codec:"c,omitempty"`
	// Percent is how much of the work is done; for a long-running task, how
	// much of it is at work.
	Percent int `codec:"p,omitempty"`
	// StalledMS is for how long Percent has not moved.
	StalledMS int64 `codec:"s,omitempty"`
}

// Announcement is what an agent writes of its worker.
type Announcement struct {
	Host        string                     `codec:"h"`
	Worker      model.WorkerID             `codec:"w"`
	Incarnation model.Incarnation          `codec:"i"`
	Service     string                     `codec:"v"`
	Zone        model.AvailabilityZoneName `codec:"z"`
	Rack        model.RackID               `codec:"k"`
	Labels      []string                   `codec:"l"`
	Capacity    Resources                  `codec:"c"`
	State       WorkerState                `codec:"s"`
	// MinRemainingMS is the least time that a draining worker goes on.
	MinRemainingMS int64 `codec:"o,omitempty"`
	// Generation rises with each life of the agent or of the worker. It is the
	// fencing token of the agent's calls to the worker.
	Generation uint64 `codec:"g"`
	// MaxLeaseMS is how long after SentMS the worker's lease may last at the longest,
	// by the slowest clock; 0 stands for dispatch.Settings.LapseAfter.
	MaxLeaseMS int64 `codec:"f,omitempty"`
	// SentMS is when the announcement was sent, on the store's clock.
	SentMS  int64         `codec:"t"`
	Running []RunningTask `codec:"r,omitempty"`
	// Address is where the agent takes pushed orders, IP:port.
	Address string `codec:"a,omitempty"`
}

// ErrRowKey means that a row's key does not name what the row should hold.
var ErrRowKey = errors.New("unexpected row key")

// ParseInboxKey returns the job that a key of the inbox names, and whether it is a
// cancellation.
func ParseInboxKey(key string) (id model.JobID, cancel bool, err error) {
	_, _, inside := storeapi.SplitKey(key)
	if rest, found := strings.CutPrefix(inside, prefixJob); found {
		return model.JobID(rest), false, nil
	}
	if rest, found := strings.CutPrefix(inside, prefixCancel); found {
		return model.JobID(rest), true, nil
	}
	return "", false, errors.Wrapf(ErrRowKey, "%q", key)
}
