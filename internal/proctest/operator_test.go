package proctest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/standin"
)

// call sends an operator's call and decodes the answer into target, unless it
// is nil. It returns the status, or zero when the connection failed.
func (c *cluster) call(method string, p *proc, path string, body, target any) int {
	text, err := json.Marshal(body)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	request, err := http.NewRequest(method, "http://"+p.http+path, io.NopCloser(bytes.NewReader(text)))
	if err != nil {
		return 0
	}
	request.ContentLength = int64(len(text))
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if target != nil && json.Unmarshal(answer, target) != nil {
		c.t.Logf("%s %s: %d %.200s", method, path, response.StatusCode, answer)
	}
	return response.StatusCode
}

// change is one operator's change of an object, with a fresh ID.
func change(object string, set func(*model.ConfigChange)) model.ConfigChange {
	id := model.ChangeID(uuid.Must(uuid.NewV7()).String())
	made := model.ConfigChange{ID: id, Object: object, Operator: "proctest", Time: time.Now().UTC()}
	set(&made)
	return made
}

// accept makes a change through an entry host: the same one again until it is
// accepted, with the object's present version.
func (c *cluster) accept(p *proc, made model.ConfigChange) operatorapi.ChangeReply {
	c.t.Helper()
	var reply operatorapi.ChangeReply
	c.await("the change of "+made.Object, func() bool {
		var document model.ConfigDocument
		if c.call(http.MethodGet, p, operatorapi.PathConfig, nil, &document) == http.StatusOK {
			made.ExpectedVersion = document.ObjectVersions[made.Object]
		}
		reply = operatorapi.ChangeReply{}
		return c.call(http.MethodPost, p, operatorapi.PathChanges, made, &reply) == http.StatusOK
	})
	return reply
}

func (c *cluster) setZone(p *proc, zone string, state model.ZoneState) operatorapi.ChangeReply {
	c.t.Helper()
	return c.accept(p, change("zone/"+zone, func(made *model.ConfigChange) { made.Zone = state }))
}

// configure makes the client account and brings all zones in.
func (c *cluster) configure() {
	c.t.Helper()
	c.accept(c.entries[0], change("account/"+account, func(made *model.ConfigChange) {
		made.Account = &model.ClientAccount{ID: account, Weight: 1, MaxQueued: 1000}
	}))
	for _, zone := range zones {
		c.setZone(c.entries[0], zone, model.ZoneIn)
	}
}

// jobRequest returns a gang job of whole workers.
func jobRequest(tasks int, run time.Duration) operatorapi.JobRequest {
	return operatorapi.JobRequest{
		ID: model.JobID("job-" + uuid.Must(uuid.NewV7()).String()), Account: account,
		Shape: model.Shape{
			Tasks: tasks, Topology: model.TopologyAny,
			PerTask: model.Resources{Accelerators: 8, Cores: 8, MemoryMB: 1024},
		},
		DeclaredRunTimeMS: run.Milliseconds(), Capacity: model.CapacityBorrowed, CanCheckpoint: true,
	}
}

// submit submits a gang job of whole workers and returns its ID.
func (c *cluster) submit(tasks int, run time.Duration) model.JobID {
	c.t.Helper()
	job := jobRequest(tasks, run)
	c.await("the job to be accepted", func() bool {
		for _, entry := range c.entries {
			if status := c.call(http.MethodPost, entry, operatorapi.PathJobs, job, nil); status == http.StatusOK || status == http.StatusCreated || status == http.StatusAccepted {
				return true
			}
		}
		return false
	})
	return job.ID
}

// histories returns each worker's starts and ends, by the agent's name.
func (c *cluster) histories() map[string][]standin.HistoryEntry {
	c.t.Helper()
	all := map[string][]standin.HistoryEntry{}
	for _, agent := range c.agents {
		var answer standin.HistoryResponse
		c.await("the history of "+agent.name, func() bool { return c.getJSON(agent.worker, standin.PathHistory, &answer) })
		all[agent.name] = answer.History
	}
	return all
}

// running counts a job's tasks that run on the workers.
func (c *cluster) running(job model.JobID) int {
	c.t.Helper()
	count := 0
	for _, history := range c.histories() {
		states := map[model.TaskID]standin.WorkerTaskState{}
		for _, entry := range history {
			states[entry.ID] = entry.State
		}
		for id, state := range states {
			if isTaskOf(id, job) && state == standin.WorkerTaskRunning {
				count++
			}
		}
	}
	return count
}

func isTaskOf(id model.TaskID, job model.JobID) bool {
	return len(id) > len(job) && string(id[:len(job)]) == string(job) && id[len(job)] == '/'
}

// checkStarts fails the test when a task ran twice at the same time anywhere.
func (c *cluster) checkStarts() {
	c.t.Helper()
	tasks := map[model.TaskID][]standin.HistoryEntry{}
	for _, history := range c.histories() {
		for _, entry := range history {
			tasks[entry.ID] = append(tasks[entry.ID], entry)
		}
	}
	for id, entries := range tasks {
		slices.SortStableFunc(entries, func(a, b standin.HistoryEntry) int {
			// At the same millisecond an end comes first.
			return cmp.Or(cmp.Compare(a.AtUnixMS, b.AtUnixMS), -cmp.Compare(isEnd(a), isEnd(b)))
		})
		running := 0
		for _, entry := range entries {
			running += 1 - 2*isEnd(entry)
			if running > 1 {
				c.t.Errorf("task %s ran twice at the same time: %+v", id, entries)
				break
			}
		}
	}
}

// isEnd returns 1 for the end of a task and 0 for its start.
func isEnd(entry standin.HistoryEntry) int {
	if entry.State == standin.WorkerTaskRunning {
		return 0
	}
	return 1
}

// startsAfter returns the task starts on a zone's workers after an instant.
func (c *cluster) startsAfter(zone string, after time.Time) []standin.HistoryEntry {
	c.t.Helper()
	var late []standin.HistoryEntry
	histories := c.histories()
	for i, agent := range c.agents {
		if zones[i%len(zones)] != zone {
			continue
		}
		for _, entry := range histories[agent.name] {
			if entry.State == standin.WorkerTaskRunning && entry.AtUnixMS > after.UnixMilli() {
				late = append(late, entry)
			}
		}
	}
	return late
}

// owner returns the entry host that owns the region's scheduler, by the newest
// owner.elected event of all time lines.
func (c *cluster) owner() *proc {
	const codeOwnerElected = 4002
	var owner *proc
	var newest int64
	for _, entry := range c.entries {
		for _, e := range c.timeline(entry, "") {
			if e.Code == codeOwnerElected && e.Clock.WallMS > newest {
				owner, newest = entry, e.Clock.WallMS
			}
		}
	}
	return owner
}

// eventsOf returns the starts and ends of a job's tasks, by agent name.
func (c *cluster) eventsOf(job model.JobID) map[string][]standin.HistoryEntry {
	c.t.Helper()
	events := map[string][]standin.HistoryEntry{}
	for name, history := range c.histories() {
		for _, entry := range history {
			if isTaskOf(entry.ID, job) {
				events[name] = append(events[name], entry)
			}
		}
	}
	return events
}

// holderOf returns an agent whose worker runs a task of the job.
func (c *cluster) holderOf(job model.JobID) *proc {
	c.t.Helper()
	events := c.eventsOf(job)
	for _, agent := range c.agents {
		if len(events[agent.name]) > 0 {
			return agent
		}
	}
	c.t.Fatalf("job %s runs nowhere", job)
	return nil
}

// ends returns the ends of a job's tasks on the workers of other agents.
func (c *cluster) ends(job model.JobID, without string) []standin.HistoryEntry {
	var ends []standin.HistoryEntry
	for name, entries := range c.eventsOf(job) {
		for _, entry := range entries {
			if name != without && isEnd(entry) == 1 {
				ends = append(ends, entry)
			}
		}
	}
	return ends
}

// checkGangs fails the test when a job runs only in part.
func (c *cluster) checkGangs(job model.JobID, tasks int) {
	c.t.Helper()
	if running := c.running(job); running != 0 && running != tasks {
		c.t.Errorf("job %s: %d of %d tasks run", job, running, tasks)
	}
}

// explain logs what was decided about a job, when the test failed.
func (c *cluster) explain(job model.JobID) {
	if !c.t.Failed() {
		return
	}
	var explanation operatorapi.Explanation
	path := operatorapi.PathJobs + "/" + string(job) + operatorapi.ExplainSuffix
	for _, entry := range c.entries {
		if c.call(http.MethodGet, entry, path, nil, &explanation) == http.StatusOK {
			c.t.Logf("%+v", explanation)
			return
		}
	}
}
