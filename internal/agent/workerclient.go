package agent

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

const (
	// workerTimeout bounds one call of the worker. Together with the longest
	// start permit it stays below the 3 s within which starts in a zone end.
	workerTimeout = 500 * time.Millisecond
	// maxWorkerAnswerBytes bounds the worker's list of tasks.
	maxWorkerAnswerBytes = 4 << 20
)

// workerTasksPath is the path of the worker's tasks. A task's own path is
// followed by one of the actions.
const (
	workerTasksPath  = "/tasks"
	actionLease      = "/lease"
	actionCheckpoint = "/checkpoint"
	actionThrottle   = "/throttle"
	actionStop       = "/stop"
)

// startBody, leaseBody and throttleBody are bodies of the worker's interface.
type startBody struct {
	ID      model.TaskID    `json:"id"`
	Attempt uint64          `json:"attempt"`
	Needs   model.Resources `json:"needs"`
	RunMS   int64           `json:"run_ms"`
	LeaseMS int64           `json:"lease_ms"`
	// NotAfterUnixMS ends the start permit, for a start that is held up on its way.
	NotAfterUnixMS int64 `json:"not_after_unix_ms"`
}

type leaseBody struct {
	LeaseMS int64 `json:"lease_ms"`
}

type throttleBody struct {
	Percent int `json:"percent"`
}

// workerTask is one task of the worker's list. The worker lists ended tasks,
// too; of several attempts of a task it lists the last.
type workerTask struct {
	ID           model.TaskID `json:"id"`
	Attempt      uint64       `json:"attempt"`
	State        string       `json:"state"`
	DoneMS       int64        `json:"done_ms"`
	CheckpointMS int64        `json:"checkpoint_ms"`
}

// taskStates maps the worker's states to those of the protocol.
var taskStates = map[string]wire.TaskState{
	"running": wire.TaskRunning, "finished": wire.TaskFinished, "failed": wire.TaskFailed,
	"stopped": wire.TaskStopped, "lease_lapsed": wire.TaskStopped,
}

// errWorkerAnswer means that the worker's answer is not as agreed.
var errWorkerAnswer = errors.New("agent: unexpected answer of the worker")

// workerClient makes calls of the worker, one at a time.
type workerClient struct {
	client *hostClient
	base   string
}

func newWorkerClient(address string) *workerClient {
	const connections = 1
	return &workerClient{
		client: newHostClient(address, connections, maxWorkerAnswerBytes, workerTimeout),
		base:   "http://" + address,
	}
}

// start asks the worker to start a task. It returns the HTTP status.
func (c *workerClient) start(body startBody) (int, error) {
	status, _, err := c.call(fasthttp.MethodPost, workerTasksPath, body)
	return status, err
}

// order gives an order about a task. It returns the HTTP status.
func (c *workerClient) order(task model.TaskID, action string, body any) (int, error) {
	status, _, err := c.call(fasthttp.MethodPost, workerTasksPath+"/"+string(task)+action, body)
	return status, err
}

// tasks returns the worker's tasks.
func (c *workerClient) tasks() ([]workerTask, error) {
	status, body, err := c.call(fasthttp.MethodGet, workerTasksPath, nil)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Wrapf(errWorkerAnswer, "status %d", status)
	}
	return decodeTasks(body)
}

// decodeTasks decodes the worker's list of tasks. A list that is not whole,
// that names a task twice or none, or that is not a list, is refused.
func decodeTasks(body []byte) ([]workerTask, error) {
	var list struct {
		Tasks *[]workerTask `json:"tasks"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(errWorkerAnswer, "%v", err)
	}
	if list.Tasks == nil {
		return nil, errors.Wrap(errWorkerAnswer, "no list of tasks")
	}
	named := map[model.TaskID]bool{}
	for _, t := range *list.Tasks {
		if t.ID == "" || named[t.ID] || t.DoneMS < 0 || t.CheckpointMS < 0 {
			return nil, errors.Wrapf(errWorkerAnswer, "task %q", t.ID)
		}
		named[t.ID] = true
	}
	return *list.Tasks, nil
}

// call makes one call of the worker and returns the status and the body of its
// answer.
func (c *workerClient) call(method, path string, body any) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.base + path)
	request.Header.SetMethod(method)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil, errors.Wrap(err, "encode order")
		}
		request.SetBody(encoded)
	}
	if err := c.client.do(request, response); err != nil {
		return 0, nil, errors.Wrapf(err, "call worker at %s", path)
	}
	return response.StatusCode(), response.SwapBody(nil), nil
}
