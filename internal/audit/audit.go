// Package audit compares the answers that callers got with what the backend
// servers truly ran. Tests and measurements use it to check the promises of
// the request path.
package audit

import (
	"fmt"
	"net/http"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/model"
)

// Answer is a caller's request with the final answer that it got.
type Answer struct {
	Request    string
	Idempotent bool
	// Sent is the request's body, which the stand-in backend server echoes.
	Sent string
	// Status is the HTTP status; zero where the connection to the entry host failed.
	Status     int
	Outcome    string
	RetryAfter string
	Body       string
}

// Kinds counts answers by outcome. Answers without one are counted under "".
func Kinds(answers []Answer) map[string]int {
	kinds := map[string]int{}
	for _, a := range answers {
		kinds[a.Outcome]++
	}
	return kinds
}

// Check returns each broken promise in words. starts counts, by request ID,
// how often the backend servers started it. An answer with status 0 is no
// broken promise by itself: its entry host may have been killed.
func Check(answers []Answer, starts map[string]int) []string {
	var problems []string
	for _, a := range answers {
		if problem := a.problem(starts[a.Request]); problem != "" {
			problems = append(problems, fmt.Sprintf("request %s (idempotent %v): %s; started %d times, status %d, outcome %q, Retry-After %q",
				a.Request, a.Idempotent, problem, starts[a.Request], a.Status, a.Outcome, a.RetryAfter))
		}
	}
	return problems
}

func (a Answer) problem(starts int) string {
	switch {
	case !a.Idempotent && starts > 1:
		return "a non-idempotent request started more than once"
	case a.Status == 0:
		return ""
	}
	switch a.Outcome {
	case model.OutcomeAnswered.String():
		return a.answeredProblem(starts)
	case model.OutcomeNotRun.String():
		return a.givenUpProblem(http.StatusServiceUnavailable, starts > 0)
	case model.OutcomeUnknown.String():
		return a.givenUpProblem(http.StatusGatewayTimeout, false)
	case model.OutcomeBackendFailed.String():
		return ""
	case callerapi.OutcomeInProgress:
		return "not a final outcome"
	default:
		return "no outcome"
	}
}

func (a Answer) answeredProblem(starts int) string {
	switch {
	case a.Status != http.StatusOK:
		return "answered with another status"
	case a.Body != a.Sent:
		return "the answer is not whole or not its own"
	case starts == 0:
		return "answered without a start"
	default:
		return ""
	}
}

func (a Answer) givenUpProblem(status int, ran bool) string {
	switch {
	case ran:
		return "said to be not run, but started"
	case a.Status != status:
		return "given up with another status"
	case a.RetryAfter == "":
		return "given up without a time to come back"
	default:
		return ""
	}
}
