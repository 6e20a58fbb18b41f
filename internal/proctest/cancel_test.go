package proctest

import (
	"net/http"
	"syscall"
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/standin"
)

// cancel cancels a job through an entry host and returns the HTTP status.
func (c *cluster) cancel(entry *proc, job model.JobID) int {
	c.t.Helper()
	return c.call(http.MethodPost, entry, operatorapi.PathJobsCancel, operatorapi.CancelRequest{IDs: []model.JobID{job}}, nil)
}

// state returns a job's state as the scheduler's owner explains it.
func (c *cluster) state(job model.JobID) string {
	for _, entry := range c.entries {
		var told operatorapi.Explanation
		path := operatorapi.PathJobs + "/" + string(job) + operatorapi.ExplainSuffix
		if c.call(http.MethodGet, entry, path, nil, &told) == http.StatusOK {
			return told.Job.State
		}
	}
	return ""
}

// TestAcceptedCancellationOutlivesItsOwner kills the owner right after it
// accepted a cancellation of a running job.
func TestAcceptedCancellationOutlivesItsOwner(t *testing.T) {
	c := startJobs(t, 3, 4)
	job := c.submit(2, longRun)
	c.awaitRunning(job, 2)
	owner := c.owner()
	if status := c.cancel(owner, job); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	c.signal(owner, syscall.SIGKILL)
	c.awaitExit(owner)
	c.dropEntry(owner)
	c.await("the successor to know the job as cancelled", func() bool { return c.state(job) == "cancelled" })
}

// TestCancellationIsNotAcceptedWhileTheTableServiceIsDown asks for one that
// could not be kept.
func TestCancellationIsNotAcceptedWhileTheTableServiceIsDown(t *testing.T) {
	c := startJobs(t, 2, 3)
	job := c.submit(2, longRun)
	c.awaitRunning(job, 2)
	c.setStoreFaults(standin.Faults{Down: true})
	status := c.cancel(c.owner(), job)
	if status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
		t.Errorf("status %d", status)
	}
	if running := c.running(job); status == http.StatusServiceUnavailable && running != 2 {
		t.Errorf("%d tasks run after a cancellation that was not accepted", running)
	}
	c.setStoreFaults(standin.Faults{})
}
