package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/tools/localregion"
)

// sent is one request with what its caller was told.
type sent struct {
	id         string
	account    string
	idempotent bool
	body       string
	outcome    string
	reason     string
	retryAfter string
	answer     string
}

// load sends requests with a number of callers at the same time.
type load struct {
	r        *localregion.Region
	accounts []string
	mu       sync.Mutex
	requests []*sent
}

// run sends count requests through the given entry hosts, every second one
// non-idempotent, and waits for all answers. During runs once half are sent.
func (l *load) run(count, callers int, entries []int, during func()) {
	work := make(chan int)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for i := range work {
				l.send(i, entries[i%len(entries)])
			}
		})
	}
	for i := range count {
		if i == count/2 && during != nil {
			during()
		}
		work <- i
	}
	close(work)
	running.Wait()
}

func (l *load) send(i, entry int) {
	id := uuid.Must(uuid.NewV7()).String()
	s := &sent{id: id, account: l.accounts[i%len(l.accounts)], idempotent: i%2 == 0, body: fmt.Sprintf("photo %d of %s", i, id)}
	l.post(s, entry)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, s)
}

// post sends one request and notes what the caller was told. An answer that
// cannot be read counts as "cut off".
func (l *load) post(s *sent, entry int) {
	const deadlineMS = "8000"
	url := "http://" + l.r.Deployment.EntryHTTPAddress(entry) + callerapi.PathRequests
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(s.body))
	if err != nil {
		s.outcome = "cut off"
		return
	}
	request.Header.Set(callerapi.HeaderRequestID, s.id)
	request.Header.Set(callerapi.HeaderAccount, s.account)
	request.Header.Set(callerapi.HeaderIdempotent, fmt.Sprint(s.idempotent))
	request.Header.Set(callerapi.HeaderDeadlineMS, deadlineMS)
	response, err := l.r.HTTP.Do(request)
	if err != nil {
		s.outcome, s.reason = "cut off", err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.outcome, s.reason = "cut off", err.Error()
		return
	}
	s.outcome = response.Header.Get(callerapi.HeaderOutcome)
	s.retryAfter = response.Header.Get("Retry-After")
	if s.outcome == "answered" {
		s.answer = string(body)
		return
	}
	var told callerapi.OutcomeBody
	_ = json.Unmarshal(body, &told)
	s.reason = string(told.Reason)
}

// ran returns how often the backend servers truly ran each request.
func (l *load) ran() (map[string]int, error) {
	counts := map[string]int{}
	for i := range l.r.Deployment.Agents {
		var list struct {
			Ran []string `json:"ran"`
		}
		if err := l.get("http://"+l.r.Deployment.BackendServerAddress(i)+"/ran", &list); err != nil {
			return nil, err
		}
		for _, id := range list.Ran {
			counts[id]++
		}
	}
	return counts, nil
}

func (l *load) get(url string, into any) error {
	response, err := l.r.HTTP.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// check compares what callers were told with what the backend servers ran. It
// returns one line for each broken promise.
func (l *load) check(ran map[string]int) []string {
	var broken []string
	for _, s := range l.requests {
		switch {
		case s.outcome == "not_run" && ran[s.id] > 0:
			broken = append(broken, s.id+" was told not_run but ran")
		case !s.idempotent && ran[s.id] > 1:
			broken = append(broken, fmt.Sprintf("%s is not idempotent and ran %d times", s.id, ran[s.id]))
		case s.outcome == "answered" && s.answer != s.body:
			broken = append(broken, s.id+" got an answer that is not its own")
		case s.outcome == "cut off" || s.outcome == "":
			broken = append(broken, s.id+" got no outcome: "+s.reason)
		case (s.outcome == "not_run" || s.outcome == "unknown") && s.retryAfter == "":
			broken = append(broken, s.id+" was not told when to come back")
		}
	}
	return broken
}

// table counts the outcomes with their reasons.
func (l *load) table() map[string]int {
	counts := map[string]int{}
	for _, s := range l.requests {
		key := s.outcome
		if s.reason != "" {
			key += " (" + s.reason + ")"
		}
		counts[key]++
	}
	return counts
}

// waitFor sends requests one by one until one is answered.
func (l *load) waitFor(entry int, limit time.Duration) error {
	return localregion.Await("a first answer through each entry host", limit, func() bool {
		s := &sent{id: uuid.Must(uuid.NewV7()).String(), account: l.accounts[0], body: "first"}
		l.post(s, entry)
		return s.outcome == "answered"
	})
}
