//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// playPending asks for the pending jobs of a queue while the owner of the scheduler is
// gone. The jobs that wait were ordered on an unhealthy executor, which refused each start.
func playPending(r *record, trouble bool) (string, error) {
	const (
		unhealthyFor = 6400 * time.Millisecond
		judgedAfter  = 5 * time.Second // visible_ms + 2 s
		darkFor      = 3500 * time.Millisecond
	)
	forever := func(string, int) (time.Duration, string) { return 0, "" }
	r.lasts = func(string) bool { return true }
	s, err := newSite(3, []string{"r0", "r0", "r0", "r1", "r1", "r1", "r2", "r2", "r2", "r3"}, forever, r)
	if err != nil {
		return "", err
	}
	defer s.close()
	const filler = "00000000000000f1"
	if err := s.submit("batch", filler, `{"spec":"serves","steps":[{"count":9,"cpu":1000,"memory_request_mb":1000,"gpu":8,"long_running":true}]}`); err != nil {
		return "", err
	}
	idle := -1
	full := await(15*time.Second, func() bool {
		idle = -1
		busy := 0
		for i, e := range s.executors {
			e.mu.Lock()
			if len(e.runs) == 0 {
				idle = i
			} else {
				busy++
			}
			e.mu.Unlock()
		}
		return busy == 9
	})
	owner := s.owner()
	if !full || idle < 0 || owner < 0 {
		return "", errNotReady
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	if trouble {
		r.say("executor %s turns unhealthy: it answers 503 to each start, and does nothing", s.executors[idle].id)
		s.executors[idle].refuse(true)
	}
	var ids []string
	for i := range 4 {
		id := fmt.Sprintf("%016x", 0xa0+i)
		if err := s.submit("batch", id, `{"spec":"works","steps":[{"count":1,"cpu":1000,"memory_request_mb":1000,"gpu":1,"estimate_ms":2000}]}`); err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(judgedAfter + 100*time.Millisecond)))
	if trouble {
		r.say("the machine of %s, which schedules, loses power for %v", s.entries[owner].name, darkFor)
		s.entries[owner].signal(syscall.SIGKILL)
	}
	waiting := func() int {
		n := 0
		for _, id := range ids {
			if _, starts, _ := r.isRunning(id + ".0.0.0"); starts == 0 {
				n++
			}
		}
		return n
	}
	broken, wrong, asked := "", 0, 0
	for end := time.Now().Add(darkFor); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		if trouble && time.Since(began) > unhealthyFor {
			s.executors[idle].refuse(false)
		}
		entry := (owner + 1 + asked%2) % 3
		before := waiting()
		status, text := s.call(entry, http.MethodGet, "/batch/", "")
		after := waiting()
		asked++
		var answer struct {
			Pending *int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil || answer.Pending == nil {
			r.say("client asks entry-%d for the queue: %d %s", entry, status, text)
			continue
		}
		// Jobs that began during the call count as begun.
		least := min(before, after)
		r.say("client asks entry-%d for the queue: pending %d; %d jobs that were accepted over 5 s ago have not begun", entry, *answer.Pending, least)
		if 2*(*answer.Pending) < least {
			wrong++
			broken = fmt.Sprintf("MIXED: %d of %d answers give under half of the jobs that have not begun; the last one %d of %d", wrong, asked, *answer.Pending, least)
		}
	}
	if trouble {
		if err := s.again(owner); err != nil {
			return "", err
		}
		r.say("%s starts again", s.entries[owner].name)
	}
	return broken, nil
}

// owner returns the entry host that schedules, as its log tells; -1 if none does.
func (s *site) owner() int {
	for i, p := range s.entries {
		log, err := os.ReadFile(filepath.Join(s.dir, p.name+".log"))
		if err == nil && strings.Contains(string(log), `"event":"scheduler_loaded"`) {
			return i
		}
	}
	return -1
}
