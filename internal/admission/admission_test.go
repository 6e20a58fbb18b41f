package admission

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

var now = time.UnixMilli(1_800_000_000_000)

func item(account model.ClientAccountID, n int, cost time.Duration) *Item {
	return &Item{
		ID: model.RequestID(fmt.Sprint(account, n)), Account: account, Cost: cost, Slots: 1, Deadline: now.Add(time.Minute),
	}
}

// first returns the next request to serve, nil if the queue is empty.
func first(q *Queue) *Item {
	var head *Item
	q.Each(1, func(item *Item) bool {
		head = item
		return true
	})
	return head
}

// serve serves n requests in fair order and returns the total cost by account.
func serve(q *Queue, n int) map[model.ClientAccountID]time.Duration {
	served := map[model.ClientAccountID]time.Duration{}
	for range n {
		head := first(q)
		q.Serve(head)
		served[head.Account] += head.Cost
	}
	return served
}

func TestAccountsAreServedByWeight(t *testing.T) {
	q := NewQueue(false)
	q.SetWeight("heavy", 3)
	for n := range 400 {
		q.Push(item("heavy", n, 10*time.Millisecond))
		q.Push(item("light", n, 10*time.Millisecond))
		q.Push(item("large", n, 40*time.Millisecond))
	}
	served := serve(q, 400)
	ratio := served["heavy"].Seconds() / served["light"].Seconds()
	if ratio < 2.8 || ratio > 3.2 {
		t.Errorf("accounts of weights 3 and 1 were served slot time %v", served)
	}
	ratio = served["large"].Seconds() / served["light"].Seconds()
	if ratio < 0.9 || ratio > 1.1 {
		t.Errorf("large requests changed the account's share: %v", served)
	}
}

func TestIdleAccountAccruesNoCredit(t *testing.T) {
	q := NewQueue(false)
	for n := range 100 {
		q.Push(item("busy", n, 10*time.Millisecond))
	}
	serve(q, 90)
	for n := range 100 {
		q.Push(item("late", n, 10*time.Millisecond))
	}
	if served := serve(q, 20); served["busy"] != served["late"] {
		t.Errorf("served slot time %v, want equal shares", served)
	}
}

func TestQueueRemovesAndReturnsRequests(t *testing.T) {
	q := NewQueue(false)
	a, b := item("x", 1, time.Millisecond), item("x", 2, time.Millisecond)
	q.Push(a)
	q.Push(b)
	q.Serve(a)
	q.PushFront(a)
	if !q.Remove("x", b.ID) || q.Remove("x", b.ID) || q.Len() != 1 || first(q) != a {
		t.Errorf("got %d waiting, head %v", q.Len(), first(q))
	}
	q.Serve(a)
	if q.Len() != 0 || first(q) != nil {
		t.Error("queue is not empty")
	}
}

func TestAdmit(t *testing.T) {
	cases := []struct {
		name     string
		queued   int
		max      int
		slots    int
		deadline time.Duration
		want     model.Reason
	}{
		{"empty queue", 0, 10, 8, time.Second, model.ReasonNone},
		{"empty queue and a short deadline", 0, 10, 8, time.Millisecond, model.ReasonNone},
		{"deadline passed", 0, 10, 8, 0, model.ReasonDeadline},
		{"account's queue is full", 10, 10, 8, time.Second, model.ReasonAccountLimit},
		{"short wait", 5, 10, 8, time.Second, model.ReasonNone},
		{"cannot finish in time", 5, 10, 2, 170 * time.Millisecond, model.ReasonDeadline},
		{"wait above the limit, whatever the deadline", 9, 10, 1, time.Hour, model.ReasonAccountLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			controller, q := NewController(false), NewQueue(false)
			controller.Observe("x", 1, 50*time.Millisecond)
			for n := range c.queued {
				q.Push(item("x", n, 50*time.Millisecond))
			}
			next := item("x", 99, 50*time.Millisecond)
			next.Deadline = now.Add(c.deadline)
			got := controller.Admit(now, next, Load{Queue: q, TotalSlots: c.slots, MaxQueued: c.max})
			if got.Reason != c.want || got.Admitted != (c.want == model.ReasonNone) {
				t.Errorf("got %+v, want %q", got, c.want)
			}
			if !got.Admitted && got.RetryAfter < minRetryAfter {
				t.Errorf("retry after %s, which is too short", got.RetryAfter)
			}
		})
	}
}

func BenchmarkPushAndPop(b *testing.B) {
	for _, accounts := range []int{4, 680} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			q := NewQueue(false)
			for n := range accounts * 4 {
				q.Push(item(model.ClientAccountID(fmt.Sprint("a", n%accounts)), n, time.Millisecond))
			}
			b.ReportAllocs()
			for b.Loop() {
				head := first(q)
				q.Serve(head)
				q.Push(head)
			}
		})
	}
}
