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
// The platform serializes the transactions of one part, at 150 per second and far
// fewer while it is slow. Therefore only the scheduler writes the unnamed part,
// each host writes a part of its own, and the inbox is spread over several parts.
const (
	// TableInbox holds the jobs and cancellations that entry hosts accepted, and a
	// cancellation in place of each deleted job.
	TableInbox = "inbox"
	// TableProgress holds the progress of each job that has started or ended.
	TableProgress = "progress"
	// TableWorkers holds the announcement of each worker, written by its agent.
	TableWorkers = "workers"
	// TableEnds holds ends of runs that the scheduler has not processed yet.
	TableEnds = "ends"
	// TableControl holds the scheduler's lease and fence, the relays, the counts of
	// pending jobs and what the scheduler has learned.
	TableControl = "control"
	// orderTables is the number of tables that orders are spread over, so that a
	// change wakes few agents. The store allows 100 tables.
	orderTables = 72
)

// Keys of single rows and key prefixes of groups of rows.
const (
	prefixJob    = "job/"
	prefixCancel = "cancel/"
	// PrefixAllJobs is the scan prefix of all accepted jobs.
	PrefixAllJobs = TableInbox + "@" + storeapi.AllParts + "/" + prefixJob
	// KeyFence is the row that each transaction of the scheduler checks and rewrites.
	// Its version changes with each of them, so that the store refuses transactions
	// of a former owner.
	KeyFence = TableControl + "/fence"
	// PrefixRelays is the key prefix of the entry hosts that relay store calls.
	PrefixRelays = TableControl + "@relay/"
	// KeyPending is the row with the number of jobs per queue that have not started.
	KeyPending = TableControl + "/pending"
	// KeyLearned is the row with what the scheduler has learned from runs.
	KeyLearned = TableControl + "/learned"
)

// LeaseKey returns the key of a row of the scheduler's lease.
func LeaseKey(name string) string { return storeapi.JoinKey(TableControl, "lease", name) }

// Parts of the inbox.
const (
	// inboxParts is the number of parts that the inbox is spread over.
	inboxParts = 16
	// inboxPartsPerJob is the number of parts that may accept one job. The store may
	// refuse some parts while it serves others. A job that is in several parts
	// counts once.
	inboxPartsPerJob = 4
)

// inboxKeys returns the keys prefix + id + suffix of a job's inbox row, one per part that
// may hold it, in the order in which the parts are tried.
func inboxKeys(prefix string, id model.JobID, suffix string) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	first := h.Sum32()
	keys := make([]string, inboxPartsPerJob)
	for i := range keys {
		part := fmt.Sprintf("in-%02d", (first+uint32(i)*inboxParts/inboxPartsPerJob)%inboxParts)
		keys[i] = storeapi.JoinKey(TableInbox, part, prefix+string(id)+suffix)
	}
	return keys
}

// JobKeys returns the possible keys of a job's row, in the order in which to try them.
func JobKeys(id model.JobID) []string { return inboxKeys(prefixJob, id, "") }

// hostPart returns the name of the part that the agent of a host writes.
func hostPart(host string) string { return "h-" + host }

// ProgressKey returns the key of a job's progress row.
func ProgressKey(id model.JobID) string { return TableProgress + "/" + string(id) }

// WorkerKey returns the key of the announcement of the worker on a host.
func WorkerKey(host string) string { return storeapi.JoinKey(TableWorkers, hostPart(host), host) }

// OrderTable returns the table that holds the orders for the worker on a host.
func OrderTable(host string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return fmt.Sprintf("orders-%02d", h.Sum32()%orderTables)
}

// OrderTables returns the names of all order tables.
func OrderTables() []string {
	names := make([]string, orderTables)
	for i := range names {
		names[i] = fmt.Sprintf("orders-%02d", i)
	}
	return names
}

// OrderPrefix returns the key prefix of the orders for the worker on a host.
func OrderPrefix(host string) string { return OrderTable(host) + "/" + host + "/" }

// RunID identifies one run, that is one attempt, of a task.
type RunID struct {
	Task TaskRef
	Run  int
}

// String returns "TASK/RUN".
func (r RunID) String() string { return r.Task.String() + "/" + strconv.Itoa(r.Run) }

// ParseRunID is the inverse of RunID.String. Run numbers start at 1.
func ParseRunID(text string) (RunID, error) {
	task, number, _ := strings.Cut(text, "/")
	ref, err := ParseTaskRef(task)
	if err != nil {
		return RunID{}, err
	}
	run, err := strconv.Atoi(number)
	if err != nil || run < 1 {
		return RunID{}, errors.Newf("run number %q of task %q is not a positive integer", number, task)
	}
	return RunID{ref, run}, nil
}

// EndKey returns the key under which the agent of a host reports the end of a run.
func EndKey(host string, run RunID) string {
	return storeapi.JoinKey(TableEnds, hostPart(host), run.String())
}

// SharedEndKey returns the key of the end of a run in the scheduler's part. Agents
// use it while the store refuses writes to their own part.
func SharedEndKey(run RunID) string { return TableEnds + "/" + run.String() }

// EndsPrefix returns the key prefix of the ends that a host reported.
func EndsPrefix(host string) string { return storeapi.JoinKey(TableEnds, hostPart(host), "") }

// Order instructs the agent of a worker to start a run of a task, or to stop it.
type Order struct {
	Task string `codec:"t"`
	Run  int    `codec:"r"`
	// Host is the agent's machine, Worker the worker on it, and Incarnation the
	// incarnation of the worker for which the order is valid.
	Host        string            `codec:"h"`
	Worker      model.WorkerID    `codec:"w"`
	Incarnation model.Incarnation `codec:"i"`
	Spec        string            `codec:"x"`
	Checkpoint  string            `codec:"c,omitempty"`
	// StartByMS is the time on the store's clock after which the run must not be started.
	StartByMS int64 `codec:"b"`
	// Stop requests that the run is stopped.
	Stop bool `codec:"s,omitempty"`
}

// Key returns the key of the order's row.
func (o *Order) Key() string {
	return OrderPrefix(o.Host) + o.Task + "/" + strconv.Itoa(o.Run)
}

// ID returns the run that the order is for. It returns an error if Task is malformed.
func (o *Order) ID() (RunID, error) {
	ref, err := ParseTaskRef(o.Task)
	return RunID{ref, o.Run}, err
}

// EndKind is the way in which a run ended.
type EndKind string

// Kinds of ends of a run.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the worker's lease expired during the run.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
	// EndLost means that the worker's incarnation ended, or that the worker no
	// longer lists the run.
	EndLost EndKind = "lost"
	// EndNotStarted means that the run was not started and never will be.
	EndNotStarted EndKind = "not_started"
)

// End is the report of how a run ended.
type End struct {
	Task string  `codec:"t"`
	Run  int     `codec:"r"`
	Host string  `codec:"h"`
	Kind EndKind `codec:"k"`
	// Checkpoint is the last checkpoint of the run; empty for none.
	Checkpoint string `codec:"c,omitempty"`
	// Detail is the reason why the run was not started, for logs.
	Detail string `codec:"d,omitempty"`
}

// WorkerState is the state of a worker in its announcement.
type WorkerState string

// States of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
	// WorkerUnreachable is the state of a worker that does not answer its agent. It gets
	// no new tasks.
	WorkerUnreachable WorkerState = "unreachable"
	// WorkerGone is the state of a worker that has left or whose lease has expired.
	WorkerGone WorkerState = "gone"
)

// RunningTask is a run in progress as reported by a worker.
type RunningTask struct {
	Task string `codec:"t"`
	Run  int    `codec:"r"`
	// Checkpoint is the latest checkpoint; empty for none.
	Checkpoint string `codec:"c,omitempty"`
	// Percent is the share of the work that is done; for a long-running task, the
	// share of the task that is active.
	Percent int `codec:"p,omitempty"`
	// StalledMS is the time since Percent last changed.
	StalledMS int64 `codec:"s,omitempty"`
}

// Announcement is the status that an agent periodically writes for its worker.
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
	// MinRemainingMS is the minimum time for which a draining worker keeps running.
	MinRemainingMS int64 `codec:"o,omitempty"`
	// Generation increases with each incarnation of the agent and of the worker. It
	// is the fencing token of the agent's calls to the worker.
	Generation uint64 `codec:"g"`
	// Sequence is that of the worker's newest heartbeat.
	Sequence uint64 `codec:"n,omitempty"`
	// MaxLeaseMS is the maximum time after SentMS for which the worker's lease may
	// last, assuming the slowest clock; 0 selects the default of dispatch.Settings.
	MaxLeaseMS int64 `codec:"f,omitempty"`
	// SentMS is the time on the store's clock at which the announcement was sent.
	SentMS  int64         `codec:"t"`
	Running []RunningTask `codec:"r,omitempty"`
	// Address is the IP:port on which the agent accepts pushed orders.
	Address string `codec:"a,omitempty"`
}

// ErrRowKey is the error of a row key that is not valid in its table.
var ErrRowKey = errors.New("unexpected row key")

// ParseInboxKey returns the job ID in an inbox key and whether the row is a
// cancellation. It returns ErrRowKey for other keys.
func ParseInboxKey(key string) (id model.JobID, cancel bool, err error) {
	_, _, rest := storeapi.SplitKey(key)
	if jobID, found := strings.CutPrefix(rest, prefixJob); found {
		return model.JobID(jobID), false, nil
	}
	if cancelled, found := strings.CutPrefix(rest, prefixCancel); found {
		// The account's digest follows the last slash; IDs may be of any form that a
		// caller names.
		if end := strings.LastIndexByte(cancelled, '/'); end >= 0 {
			return model.JobID(cancelled[:end]), true, nil
		}
	}
	return "", false, errors.Wrapf(ErrRowKey, "%q", key)
}
