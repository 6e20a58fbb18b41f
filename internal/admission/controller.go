package admission

import (
	"math"
	"time"

	"dragonflyyard/internal/model"
)

const (
	// initialServiceTime is the estimate before the first answer is measured.
	initialServiceTime = 50 * time.Millisecond
	// smoothingWeight is the weight of a new sample in the moving average.
	smoothingWeight = 0.05
	// maxWait bounds the expected waiting time of an admitted request, whatever
	// its deadline, so that small and large requests are refused at the same wait.
	maxWait = 200 * time.Millisecond
	// maxWaitExemptRequests is how many requests of an account are queued without
	// regard to maxWait. Otherwise, one large request of a small account would get
	// its next ones refused.
	maxWaitExemptRequests = 3
	// minRetryAfter and maxRetryAfter bound the retry delay that callers are given.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// sizeClassCount is the number of size classes, which are estimated separately:
	// 1, 2, 3-4, 5-8 slots and more.
	sizeClassCount = 5
)

// estimate holds the moving averages, in seconds, of service times and of their
// absolute deviation from the mean.
type estimate struct {
	mean      float64
	deviation float64
	samples   int
}

func (e *estimate) add(seconds float64) {
	e.samples++
	weight := max(smoothingWeight, 1/float64(e.samples))
	delta := seconds - e.mean
	e.mean += weight * delta
	if e.samples == 1 {
		return
	}
	e.deviation += weight * (math.Abs(delta) - e.deviation)
}

// Controller estimates service and waiting times and refuses requests that would
// wait too long or miss their deadline.
type Controller struct {
	disabled bool
	all      [sizeClassCount]estimate
	accounts map[model.ClientAccountID]*[sizeClassCount]estimate
}

// NewController returns a Controller without samples. A disabled one admits every
// request.
func NewController(disabled bool) *Controller {
	return &Controller{disabled: disabled, accounts: map[model.ClientAccountID]*[sizeClassCount]estimate{}}
}

// Decision is the result of Admit. Reason and RetryAfter are set for a refusal.
type Decision struct {
	Admitted   bool
	Reason     model.Reason
	RetryAfter time.Duration
}

// Load describes the entry host's queue and slot credit to Admit.
type Load struct {
	Queue *Queue
	// TotalSlots is how many slots this entry host may use, FreeSlots how many of
	// them are not in use.
	TotalSlots, FreeSlots int
	// MaxQueued bounds the account's waiting requests; zero means no limit.
	MaxQueued int
}

// Observe records the service time of an answered request in the estimates of its
// account and of all accounts.
func (c *Controller) Observe(account model.ClientAccountID, slots int, service time.Duration) {
	class := sizeClass(slots)
	c.all[class].add(service.Seconds())
	own := c.accounts[account]
	if own == nil {
		own = &[sizeClassCount]estimate{}
		c.accounts[account] = own
	}
	own[class].add(service.Seconds())
}

// RetainAccounts removes the estimates of the accounts for which keep returns
// false.
func (c *Controller) RetainAccounts(keep func(model.ClientAccountID) bool) {
	for account := range c.accounts {
		if !keep(account) {
			delete(c.accounts, account)
		}
	}
}

// ServiceTime returns the expected service time of a request and its deviation,
// from the samples of its account or, if it has none of that size class, of all
// accounts.
func (c *Controller) ServiceTime(account model.ClientAccountID, slots int) (mean, deviation time.Duration) {
	class := sizeClass(slots)
	if own := c.accounts[account]; own != nil && own[class].samples > 0 {
		return secondsToDuration(own[class].mean), secondsToDuration(own[class].deviation)
	}
	if c.all[class].samples > 0 {
		return secondsToDuration(c.all[class].mean), secondsToDuration(c.all[class].deviation)
	}
	return initialServiceTime, 0
}

// ExpectedWait returns how long a new request of the account is expected to wait:
// until the account's fair share serves its own queue, or until all slots serve
// the whole queue, whichever is shorter.
func (c *Controller) ExpectedWait(account model.ClientAccountID, load Load) time.Duration {
	own, all := load.Queue.QueuedSlotSeconds(account)
	if load.TotalSlots <= 0 {
		return 0
	}
	fairShareWait := own / (float64(load.TotalSlots) * load.Queue.Share(account))
	drainWait := all / float64(load.TotalSlots)
	return secondsToDuration(min(fairShareWait, drainWait))
}

// Admit admits or refuses a new request. A refusal has a retry delay.
func (c *Controller) Admit(now time.Time, item *Item, load Load) Decision {
	if c.disabled {
		return Decision{Admitted: true}
	}
	mean, deviation := c.ServiceTime(item.Account, item.Slots)
	wait := c.ExpectedWait(item.Account, load)
	if load.MaxQueued > 0 && load.Queue.LenOf(item.Account) >= load.MaxQueued {
		return refusal(model.ReasonAccountLimit, wait)
	}
	remaining := item.Deadline.Sub(now)
	if remaining <= 0 {
		return refusal(model.ReasonDeadline, wait)
	}
	if wait > maxWait && load.Queue.LenOf(item.Account) >= maxWaitExemptRequests {
		return refusal(model.ReasonAccountLimit, wait-maxWait)
	}
	if wait+mean+deviation > remaining && load.Queue.LenOf(item.Account) > 0 {
		return refusal(model.ReasonDeadline, wait+mean-remaining)
	}
	return Decision{Admitted: true}
}

// MissesDeadline reports whether a waiting request is expected to miss its
// deadline even if it is dispatched now.
func (c *Controller) MissesDeadline(now time.Time, item *Item) bool {
	if c.disabled {
		return !now.Before(item.Deadline)
	}
	mean, _ := c.ServiceTime(item.Account, item.Slots)
	return now.Add(mean).After(item.Deadline)
}

// RetryAfter returns the retry delay for an expected wait: the wait, limited to
// minRetryAfter and maxRetryAfter.
func RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func refusal(reason model.Reason, wait time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: RetryAfter(wait)}
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sizeClass returns the index of the size class of a request.
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
