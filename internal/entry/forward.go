package entry

import (
	"sync"
	"time"

	"dragonflyyard/internal/link"
	"dragonflyyard/internal/wire"
)

// maxForwarded bounds the operators' calls that wait for the owner's reply.
const maxForwarded = 1024

// forwardedCalls holds operators' calls that were forwarded to the owner. It is
// safe for concurrent use.
type forwardedCalls struct {
	p    *Process
	mu   sync.Mutex
	last uint64
	open map[uint64]forwardedCall
}

// forwardedCall is one forwarded call, given up at until.
type forwardedCall struct {
	reply func(operatorReply)
	until time.Time
}

func newForwardedCalls(p *Process) *forwardedCalls {
	return &forwardedCalls{p: p, open: map[uint64]forwardedCall{}}
}

// forward sends a call to the owner. It returns false when the owner is not
// known or not connected, or when too many calls wait: the call was not sent.
func (f *forwardedCalls) forward(owner string, call *operatorCall) bool {
	if owner == "" {
		return false
	}
	number, ok := f.enter(call.reply)
	if !ok {
		return false
	}
	path := call.path
	if query := call.query.String(); query != "" {
		path += "?" + query
	}
	sent := f.p.Send(owner, &wire.OperatorCall{Call: number, Method: call.method, Path: path, Body: call.body})
	if !sent {
		f.leave(number)
	}
	return sent
}

func (f *forwardedCalls) enter(reply func(operatorReply)) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.p.Now()
	for number, call := range f.open {
		if now.After(call.until) {
			delete(f.open, number)
		}
	}
	if len(f.open) >= maxForwarded {
		return 0, false
	}
	f.last++
	f.open[f.last] = forwardedCall{reply: reply, until: now.Add(operatorPatience)}
	return f.last, true
}

func (f *forwardedCalls) leave(number uint64) (forwardedCall, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call, ok := f.open[number]
	delete(f.open, number)
	return call, ok
}

func (f *forwardedCalls) noteReply(_ *link.Conn, m wire.Message) bool {
	reply := m.(*wire.OperatorReply)
	if call, ok := f.leave(reply.Call); ok {
		call.reply(operatorReply{
			status: reply.Status, body: reply.Body,
			retryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond,
		})
	}
	return true
}
