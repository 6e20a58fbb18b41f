package proctest

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/standin"
)

// explanation returns what the scheduler's owner says of a job.
func (c *cluster) explanation(job model.JobID) operatorapi.Explanation {
	for _, entry := range c.entries {
		var told operatorapi.Explanation
		path := operatorapi.PathJobs + "/" + string(job) + operatorapi.ExplainSuffix
		if c.call(http.MethodGet, entry, path, nil, &told) == http.StatusOK {
			return told
		}
	}
	return operatorapi.Explanation{}
}

// TestDecisionsWaitForTheStore frees a worker while the table service is down.
// The job that waits for it is explained, makes no attempt after attempt, and
// starts once the service is back; the running job is left alone.
func TestDecisionsWaitForTheStore(t *testing.T) {
	const maxAttempts = 4
	c := startJobs(t, 2, 2)
	running := c.submit(1, longRun)
	short := c.submit(1, 5*time.Second)
	c.awaitRunning(running, 1)
	c.awaitRunning(short, 1)
	waiting := c.submit(1, longRun)
	c.setStoreFaults(standin.Faults{Down: true})
	c.await("the short job to end", func() bool { return len(c.ends(short, "")) == 1 })
	c.await("the explanation to name the table service", func() bool {
		return strings.Contains(strings.Join(c.explanation(waiting).Lines, "\n"), "table service has been out of reach")
	})
	if got := c.running(waiting); got != 0 {
		t.Errorf("%d tasks of the waiting job run without a decision row", got)
	}
	c.setStoreFaults(standin.Faults{})
	c.awaitRunning(waiting, 1)
	if told := c.explanation(waiting); told.Job.Attempt > maxAttempts {
		t.Errorf("%d attempts, want at most %d: %q", told.Job.Attempt, maxAttempts, told.Lines)
	}
	if ends := c.ends(running, ""); len(ends) > 0 {
		t.Errorf("the running job ended: %+v", ends)
	}
	c.checkStarts()
}

// TestDoubtfulSubmissionIsSettled freezes the table service while a job is
// submitted. The job is shown as in doubt, and runs after the service is back
// without being submitted again.
func TestDoubtfulSubmissionIsSettled(t *testing.T) {
	c := startJobs(t, 2, 1)
	first := c.submit(1, time.Second)
	c.await("the first job to end", func() bool { return len(c.ends(first, "")) == 1 })
	job := jobRequest(1, longRun)
	c.setStoreFaults(standin.Faults{Freeze: true})
	if status := c.call(http.MethodPost, c.owner(), operatorapi.PathJobs, job, nil); status != http.StatusGatewayTimeout {
		t.Fatalf("status %d of a submission to a frozen service, want %d", status, http.StatusGatewayTimeout)
	}
	c.await("the job to be shown as in doubt", func() bool { return c.explanation(job.ID).Job.State == "in_doubt" })
	var list operatorapi.JobList
	c.await("the list", func() bool {
		return c.call(http.MethodGet, c.entries[0], operatorapi.PathJobs+"?state=in_doubt", nil, &list) == http.StatusOK
	})
	if len(list.Jobs) != 1 || list.Jobs[0].ID != job.ID {
		t.Errorf("listed as in doubt: %+v", list.Jobs)
	}
	c.setStoreFaults(standin.Faults{})
	c.awaitRunning(job.ID, 1)
	c.checkStarts()
}
