package taskrunner

import (
	"testing"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// TestPushedOrders: an order that was pushed is started, unless the orders that
// were seen in the store are newer: it may have been removed since.
func TestPushedOrders(t *testing.T) {
	const pushed = storeapi.RowVersion(50)
	cases := []struct {
		name   string
		before func(c *Core)
		after  func(c *Core, id workload.RunID)
		starts int
	}{
		{"ahead of the feed", nil, nil, 1},
		{"behind the feed", func(c *Core) { c.OrdersCaughtUp(pushed) }, nil, 0},
		{"behind a scan", func(c *Core) { c.OrdersLoaded(nil, pushed+1) }, nil, 0},
		{"removed since", nil, func(c *Core, id workload.RunID) { c.OrderRemoved(id, pushed+1) }, 0},
		{"missing from an older scan", nil, func(c *Core, _ workload.RunID) { c.OrdersLoaded(nil, pushed-1) }, 1},
		{"missing from a newer scan", nil, func(c *Core, _ workload.RunID) { c.OrdersLoaded(nil, pushed+1) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			if c.before != nil {
				c.before(r.core)
			}
			order := r.order(taskA, 1, nil)
			r.core.OrderPushed(order, pushed)
			if c.after != nil {
				id, err := order.ID()
				if err != nil {
					t.Fatal(err)
				}
				c.after(r.core, id)
			}
			if n := len(starts(r.settle())); n != c.starts {
				t.Errorf("%d starts, want %d", n, c.starts)
			}
		})
	}
}

// TestPushBeforeTheOrdersAreLoaded: a new process of the agent does not know yet
// which starts a former one sent, so that it waits for the scan.
func TestPushBeforeTheOrdersAreLoaded(t *testing.T) {
	r := newRig(t)
	r.core.RowLoaded(workload.Announcement{}, 0)
	r.heartbeat(nil)
	r.core.OrderPushed(r.order(taskA, 1, nil), r.version+1)
	r.core.OrdersLoaded(nil, r.version)
	if n := len(starts(r.settle())); n != 0 {
		t.Errorf("%d starts", n)
	}
}

// TestPushedStopOvertakesTheStart: the feed shows the order after its stop was pushed.
func TestPushedStopOvertakesTheStart(t *testing.T) {
	r := newRig(t)
	r.ready()
	order := r.order(taskA, 1, nil)
	stop := order
	stop.Stop = true
	r.core.OrderPushed(stop, r.version+2)
	r.core.OrderSeen(order, r.version+1, false)
	if n := len(starts(r.settle())); n != 0 {
		t.Errorf("%d starts after the stop", n)
	}
}
