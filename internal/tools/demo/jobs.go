package main

import (
	"encoding/json"
	"strings"
	"time"

	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/standin"
)

// submit submits a job with dragonflyctl.
func (s *show) submit(id string, args ...string) error {
	_, err := s.region.Ctl(append([]string{"job", "submit", "--id", id}, args...)...)
	if err == nil {
		s.jobs = append(s.jobs, id)
	}
	return err
}

// statuses returns all jobs as the scheduler's owner lists them.
func (s *show) statuses() map[string]operatorapi.JobStatus {
	found := map[string]operatorapi.JobStatus{}
	out, err := s.region.Ctl("--json", "job", "list")
	if err != nil {
		return found
	}
	var list operatorapi.JobList
	if json.Unmarshal([]byte(out), &list) != nil {
		return found
	}
	for _, job := range list.Jobs {
		found[string(job.ID)] = job
	}
	return found
}

func (s *show) state(id string) string { return s.statuses()[id].State }

func (s *show) countRunning() int {
	count := 0
	for _, job := range s.statuses() {
		if job.State == "running" {
			count++
		}
	}
	return count
}

func (s *show) countEnded() int {
	count := 0
	for _, job := range s.statuses() {
		if job.Ended != "" {
			count++
		}
	}
	return count
}

// startsInZone counts the tasks that workers of a zone started after an instant.
func (s *show) startsInZone(zone string, after time.Time) (int, error) {
	starts := 0
	for i := range s.region.Deployment.Agents {
		if string(s.region.Deployment.AgentSettings(i).Zone) != zone {
			continue
		}
		var history standin.HistoryResponse
		if err := s.load.get("http://"+s.region.Deployment.WorkerAddress(i)+standin.PathHistory, &history); err != nil {
			return 0, err
		}
		for _, entry := range history.History {
			if entry.State == standin.WorkerTaskRunning && entry.AtUnixMS > after.UnixMilli() {
				starts++
			}
		}
	}
	return starts, nil
}

// join joins names with commas.
func join[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = string(name)
	}
	return strings.Join(parts, ", ")
}
