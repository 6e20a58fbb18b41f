//go:build review

package main

import (
	"fmt"
	"time"
)

// playSilent lets the open channels between the agents and their executors go silent, while
// new ones work. A job with 40 tasks that last runs on five of six executors.
func playSilent(r *record, trouble bool) (string, error) {
	const job, count = "00000000000000d1", 40
	r.lasts = func(string) bool { return true }
	s, err := newSite(3, []string{"r0", "r0", "r0", "r1", "r1", "r1"}, func(string, int) (time.Duration, string) { return 0, "" }, r)
	if err != nil {
		return "", err
	}
	defer s.close()
	time.Sleep(5 * time.Second)
	if err := s.submit("batch", job, fmt.Sprintf(`{"spec":"serves","steps":[{"count":%d,"cpu":1000,"memory_request_mb":1000,"gpu":1,"long_running":true}]}`, count)); err != nil {
		return "", err
	}
	var tasks []lastingTask
	for i := range count {
		tasks = append(tasks, lastingTask{fmt.Sprintf("%s.0.0.%d", job, i), time.Now()})
	}
	allRun := func() bool {
		for _, task := range tasks {
			if running, _, _ := r.isRunning(task.name); !running {
				return false
			}
		}
		return true
	}
	if !await(10*time.Second, allRun) {
		return "", errNotReady
	}
	time.Sleep(3 * time.Second)
	if trouble {
		r.say("the open channels to the executors go silent; new ones work")
		for _, way := range s.toExecutors {
			way.silence()
		}
	}
	broken := watchLasting(r, tasks, 30*time.Second, func() bool {
		return s.freeAccelerators(func(string) int { return 1 }) >= 2
	})
	return broken, nil
}
