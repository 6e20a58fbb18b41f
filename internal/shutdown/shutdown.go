// Package shutdown divides the grace of a stopping process, the time between SIGTERM
// and SIGKILL, into the stages of its graceful stop.
package shutdown

import "time"

// Shares of the grace at whose ends the stages end.
const (
	// acceptShare leaves balancers the time to notice that the process stops, and most
	// calls that arrive until then the rest of the grace for their answers.
	acceptShare = 0.55
	// answerShare leaves time to write the last answers over a slow link.
	answerShare = 0.92
	exitShare   = 0.98
)

// Schedule holds the ends of the stages of a graceful stop.
type Schedule struct {
	// AcceptUntil is the time until which new calls are taken.
	AcceptUntil time.Time
	// AnswerBy is the time by which each call has an answer.
	AnswerBy time.Time
	// ExitBy is the time by which the process has ended by itself.
	ExitBy time.Time
}

// NewSchedule returns the schedule of a process that is told to stop at a time and
// killed when the grace is over.
func NewSchedule(stopAt time.Time, grace time.Duration) Schedule {
	end := func(share float64) time.Time { return stopAt.Add(time.Duration(share * float64(grace))) }
	return Schedule{AcceptUntil: end(acceptShare), AnswerBy: end(answerShare), ExitBy: end(exitShare)}
}
