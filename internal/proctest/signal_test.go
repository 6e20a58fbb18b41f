package proctest

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dragonflyyard/internal/audit"
	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/wire"
)

func TestKilledAgentUnderLoad(t *testing.T) {
	c := startCluster(t, 2, 3, 2*time.Millisecond)
	l := c.load(8)
	c.awaitStarts(100)
	c.signal(c.agents[0], syscall.SIGKILL)
	c.awaitExit(c.agents[0])
	c.awaitStarts(300)
	answers := l.stop()
	c.check(answers)
	failOnMissing(t, answers)
	c.answersAgain()
}

func TestKilledAndRestartedAgentsUnderLoad(t *testing.T) {
	c := startCluster(t, 2, 3, 2*time.Millisecond)
	l := c.load(8)
	for _, agent := range c.agents {
		c.awaitStarts(100)
		c.signal(agent, syscall.SIGKILL)
		c.awaitExit(agent)
		c.start(agent, "dragonfly-agent")
	}
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnMissing(t, answers)
}

func TestKilledEntryHostAndTheSameIDThroughAnother(t *testing.T) {
	c := startCluster(t, 2, 3, 20*time.Millisecond)
	l := c.load(16)
	c.awaitStarts(100)
	c.signal(c.entries[0], syscall.SIGKILL)
	c.awaitExit(c.entries[0])
	c.awaitStarts(100)
	answers := l.stop()
	// Whoever lost the connection asks again with the same ID elsewhere.
	var asked []audit.Answer
	lost := 0
	for _, a := range answers {
		if a.Status == 0 {
			lost++
			asked = append(asked, c.post(c.entries[1], request{id: a.Request, idempotent: a.Idempotent, body: a.Sent, deadline: limit}))
		}
	}
	if lost == 0 {
		t.Error("no request was under way at the killed entry host")
	}
	c.check(append(answers, asked...))
	failOnMissing(t, asked)
	for _, a := range asked {
		if a.Outcome == "not_run" {
			t.Errorf("request %s: only the first submission's answer or start can be told, got %+v", a.Request, a)
		}
	}
}

func TestFrozenAgentWakesUnderLoad(t *testing.T) {
	c := startCluster(t, 2, 3, 2*time.Millisecond)
	l := c.load(8)
	c.awaitStarts(100)
	agent := c.agents[0]
	c.signal(agent, syscall.SIGSTOP)
	for _, entry := range c.entries {
		c.await(entry.name+" to give the frozen agent up", func() bool { return !c.linked(entry, agent.name) })
	}
	c.awaitStarts(100)
	c.signal(agent, syscall.SIGCONT)
	for _, entry := range c.entries {
		c.await(entry.name+" to know the woken agent", func() bool { return c.linked(entry, agent.name) })
	}
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnMissing(t, answers)
}

func TestFrozenEntryHostWakesUnderLoad(t *testing.T) {
	c := startCluster(t, 2, 3, 2*time.Millisecond)
	l := c.load(8)
	c.awaitStarts(100)
	entry := c.entries[0]
	c.signal(entry, syscall.SIGSTOP)
	for _, agent := range c.agents {
		c.await(agent.name+" to give the frozen entry host up", func() bool { return !c.linked(agent, entry.name) })
	}
	c.signal(entry, syscall.SIGCONT)
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnMissing(t, answers)
}

func TestPlannedStopOfSeveralProcessesCutsOffNoRequest(t *testing.T) {
	c := startCluster(t, 3, 4, 5*time.Millisecond)
	c.awaitSettled()
	l := c.load(8)
	c.awaitStarts(100)
	stopping := []*proc{c.agents[0], c.agents[1], c.entries[2]}
	for _, p := range stopping {
		c.signal(p, syscall.SIGTERM)
	}
	for _, p := range stopping {
		if code := c.awaitExit(p); code != 0 {
			t.Errorf("%s ended with code %d", p.name, code)
		}
	}
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnCutOff(t, answers)
}

func TestRollingRestartOfAgentsCutsOffNoRequest(t *testing.T) {
	c := startCluster(t, 2, 3, 5*time.Millisecond)
	c.awaitSettled()
	l := c.load(8)
	c.awaitStarts(100)
	for _, agent := range c.agents {
		c.signal(agent, syscall.SIGTERM)
		if code := c.awaitExit(agent); code != 0 {
			t.Errorf("%s ended with code %d", agent.name, code)
		}
		c.start(agent, "dragonfly-agent")
	}
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnCutOff(t, answers)
}

func TestStopDuringAHandOverCutsOffNoRequest(t *testing.T) {
	c := startCluster(t, 2, 4, 5*time.Millisecond)
	c.awaitSettled()
	l := c.load(8)
	c.awaitStarts(100)
	c.signal(c.agents[0], syscall.SIGTERM)
	c.await("the hand-over to begin", func() bool {
		assignment, _ := c.assignment()
		for _, r := range assignment.Ranges {
			if string(r.Home) == c.agents[0].name {
				return false
			}
		}
		return true
	})
	c.signal(c.agents[1], syscall.SIGTERM)
	for _, agent := range c.agents[:2] {
		if code := c.awaitExit(agent); code != 0 {
			t.Errorf("%s ended with code %d", agent.name, code)
		}
	}
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnCutOff(t, answers)
}

func TestSameIDThroughAnotherEntryHost(t *testing.T) {
	c := startCluster(t, 2, 3, 100*time.Millisecond)
	for _, idempotent := range []bool{false, true} {
		r := newRequest(idempotent)
		answers := make([]audit.Answer, 4)
		var running sync.WaitGroup
		for i := range 2 {
			running.Go(func() { answers[i] = c.post(c.entries[i], r) })
		}
		running.Wait()
		answers[2], answers[3] = c.post(c.entries[0], r), c.post(c.entries[1], r)
		for i, a := range answers {
			if a.Status != http.StatusOK || a.Body != r.body {
				t.Errorf("idempotent %v, answer %d: %+v", idempotent, i, a)
			}
		}
		if starts := c.ran()[r.id]; starts != 1 {
			t.Errorf("idempotent %v: %d starts", idempotent, starts)
		}
	}
}

func TestBackendServerFaultsUnderLoad(t *testing.T) {
	c := startCluster(t, 2, 3, 2*time.Millisecond)
	l := c.load(8)
	c.awaitStarts(100)
	c.setFaults(c.agents[0].backend, standinLosesAnswers)
	c.setFaults(c.agents[1].backend, standinFailsAll)
	c.awaitStarts(200)
	c.setFaults(c.agents[0].backend, standinHealthy)
	c.setFaults(c.agents[1].backend, standinHealthy)
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnMissing(t, answers)
}

// failOnMissing fails the test for each caller without an answer.
func failOnMissing(t *testing.T, answers []audit.Answer) {
	t.Helper()
	for _, a := range answers {
		if a.Status == 0 {
			t.Errorf("request %s got no answer: %s", a.Request, a.Body)
		}
	}
}

// failOnCutOff fails the test for each request that a planned stop cut off.
func failOnCutOff(t *testing.T, answers []audit.Answer) {
	t.Helper()
	const shown = 5
	cut := 0
	for _, a := range answers {
		if a.Outcome == "answered" || a.Outcome == "not_run" {
			continue
		}
		if cut++; cut <= shown {
			t.Errorf("request %s (idempotent %v) was cut off: status %d %s", a.Request, a.Idempotent, a.Status, a.Body)
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d requests were cut off", cut, len(answers))
	}
}

// answersAgain waits until each kind of request is answered by each entry host.
func (c *cluster) answersAgain() {
	c.t.Helper()
	for _, entry := range c.entries {
		for _, idempotent := range []bool{true, false} {
			c.await(entry.name+" to answer again", func() bool {
				return c.post(entry, newRequest(idempotent)).Status == http.StatusOK
			})
		}
	}
}

// awaitSettled waits until the home assignment has ranges for all agents and
// no range is being handed over.
func (c *cluster) awaitSettled() {
	c.t.Helper()
	const skew = 500 * time.Millisecond
	c.await("the home assignment to settle", func() bool {
		assignment, ok := c.assignment()
		homes := map[model.BackendServerID]bool{}
		for _, r := range assignment.Ranges {
			homes[r.Home] = true
			if time.Now().UnixMilli() < r.SinceUnixMS+2*skew.Milliseconds() {
				return false
			}
		}
		return ok && len(homes) == len(c.agents)
	})
}

// assignment reads the newest home assignment from the table service.
func (c *cluster) assignment() (wire.Assignment, bool) {
	const most = 1000
	prefix := strings.TrimSuffix(configstore.AssignmentKey("nordeste", 0), fmt.Sprintf("%020d", 0))
	var rows standin.RowsResponse
	query := fmt.Sprintf("%s?prefix=%s&limit=%d", standin.PathRows, url.QueryEscape(prefix), most)
	if !c.getJSON(c.standin.http, query, &rows) || len(rows.Rows) == 0 {
		return wire.Assignment{}, false
	}
	assignment, err := configstore.DecodeAssignment(rows.Rows[len(rows.Rows)-1])
	return assignment, err == nil
}
