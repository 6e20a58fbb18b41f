package httpconn

import (
	"net"
	"time"
)

// Progress is a connection on which an answer may take longer than the read deadline
// as long as its bytes arrive: a large answer over a slow link is not taken for a lost
// one. It is not safe for concurrent reads.
type Progress struct {
	net.Conn
	// Idle is the longest pause between two reads of an answer after the deadline.
	Idle time.Duration
	// Limit bounds the time from setting the deadline to the end of the answer.
	Limit time.Duration

	deadline, last time.Time
}

// SetReadDeadline implements net.Conn. The deadline holds for the first bytes.
func (p *Progress) SetReadDeadline(t time.Time) error {
	p.deadline, p.last = t, time.Time{}
	if !t.IsZero() {
		p.last = time.Now().Add(p.Limit)
	}
	return p.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (p *Progress) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n == 0 || p.deadline.IsZero() {
		return n, err
	}
	next := time.Now().Add(p.Idle)
	if next.After(p.last) {
		next = p.last
	}
	if next.After(p.deadline) {
		p.deadline = next
		if deadlineErr := p.Conn.SetReadDeadline(next); err == nil {
			err = deadlineErr
		}
	}
	return n, err
}
