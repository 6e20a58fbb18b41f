package admission

import (
	"math"
	"time"

	"dragonflyyard/internal/model"
)

const (
	// initialServiceTime is assumed before the first answer was measured.
	initialServiceTime = 50 * time.Millisecond
	// smoothing is the weight of a new sample in the running mean.
	smoothing = 0.05
	// maxWait bounds the expected waiting time of an admitted request, whatever
	// its deadline. With it small and large requests are refused alike.
	maxWait = 200 * time.Millisecond
	// minWaiting requests of an account may wait longer than maxWait, so that one
	// large request does not turn a small account's next ones away.
	minWaiting = 3
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// sizeClasses separates small from large requests: 1, 2, 3-4, 5-8 slots and more.
	sizeClasses = 5
)

// estimate is a running mean of service times and of their deviation.
type estimate struct {
	mean      float64
	deviation float64
	samples   int
}

func (e *estimate) add(seconds float64) {
	e.samples++
	weight := max(smoothing, 1/float64(e.samples))
	delta := seconds - e.mean
	e.mean += weight * delta
	if e.samples == 1 {
		return
	}
	e.deviation += weight * (math.Abs(delta) - e.deviation)
}

// Controller estimates service and waiting times, and refuses what cannot
// finish by its deadline.
type Controller struct {
	disabled bool
	all      [sizeClasses]estimate
	accounts map[model.ClientAccountID]*[sizeClasses]estimate
}

// NewController returns a Controller without samples. A disabled one admits everything.
func NewController(disabled bool) *Controller {
	return &Controller{disabled: disabled, accounts: map[model.ClientAccountID]*[sizeClasses]estimate{}}
}

// Decision is the result of Admit.
type Decision struct {
	Admitted   bool
	Reason     model.Reason
	RetryAfter time.Duration
}

// Load is what Admit needs to know of the entry host's queue and credits.
type Load struct {
	Queue *Queue
	// TotalSlots are the slots that this entry host may use, FreeSlots those not in use.
	TotalSlots, FreeSlots int
	// MaxQueued bounds the account's waiting requests.
	MaxQueued int
}

// Observe adds the service time of an answered request.
func (c *Controller) Observe(account model.ClientAccountID, slots int, service time.Duration) {
	class := sizeClass(slots)
	c.all[class].add(service.Seconds())
	own := c.accounts[account]
	if own == nil {
		own = &[sizeClasses]estimate{}
		c.accounts[account] = own
	}
	own[class].add(service.Seconds())
}

// RetainAccounts drops the estimates of accounts that keep reports as false.
func (c *Controller) RetainAccounts(keep func(model.ClientAccountID) bool) {
	for account := range c.accounts {
		if !keep(account) {
			delete(c.accounts, account)
		}
	}
}

// ServiceTime returns the expected service time of a request and its deviation.
func (c *Controller) ServiceTime(account model.ClientAccountID, slots int) (mean, deviation time.Duration) {
	class := sizeClass(slots)
	if own := c.accounts[account]; own != nil && own[class].samples > 0 {
		return seconds(own[class].mean), seconds(own[class].deviation)
	}
	if c.all[class].samples > 0 {
		return seconds(c.all[class].mean), seconds(c.all[class].deviation)
	}
	return initialServiceTime, 0
}

// ExpectedWait returns how long a new request of the account is expected to wait.
func (c *Controller) ExpectedWait(account model.ClientAccountID, s Load) time.Duration {
	own, all := s.Queue.QueuedSlotSeconds(account)
	if s.TotalSlots <= 0 {
		return 0
	}
	fair := own / (float64(s.TotalSlots) * s.Queue.Share(account))
	drained := all / float64(s.TotalSlots)
	return seconds(min(fair, drained))
}

// Admit decides about a new request. A refused one is told when to come back.
func (c *Controller) Admit(now time.Time, item *Item, s Load) Decision {
	if c.disabled {
		return Decision{Admitted: true}
	}
	mean, deviation := c.ServiceTime(item.Account, item.Slots)
	wait := c.ExpectedWait(item.Account, s)
	if s.MaxQueued > 0 && s.Queue.LenOf(item.Account) >= s.MaxQueued {
		return refused(model.ReasonAccountLimit, wait)
	}
	remaining := item.Deadline.Sub(now)
	if remaining <= 0 {
		return refused(model.ReasonDeadline, wait)
	}
	if wait > maxWait && s.Queue.LenOf(item.Account) >= minWaiting {
		return refused(model.ReasonAccountLimit, wait-maxWait)
	}
	if wait+mean+deviation > remaining && s.Queue.LenOf(item.Account) > 0 {
		return refused(model.ReasonDeadline, wait+mean-remaining)
	}
	return Decision{Admitted: true}
}

// MissesDeadline reports whether a waiting request can no longer finish in time.
func (c *Controller) MissesDeadline(now time.Time, item *Item) bool {
	if c.disabled {
		return !now.Before(item.Deadline)
	}
	mean, _ := c.ServiceTime(item.Account, item.Slots)
	return now.Add(mean).After(item.Deadline)
}

// RetryAfter bounds a waiting time to what callers are told.
func RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func refused(reason model.Reason, wait time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: RetryAfter(wait)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func sizeClass(slots int) int {
	switch {
	case slots <= 1:
		return 0
	case slots == 2:
		return 1
	case slots <= 4:
		return 2
	case slots <= 8:
		return 3
	default:
		return 4
	}
}
