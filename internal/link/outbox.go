package link

import "sync"

// keptOutgoing is the largest buffer, in messages, that an empty outbox keeps.
const keptOutgoing = 256

// outbox is the bounded queue of messages that a connection has still to write.
// Its memory follows what waits, since an entry host has a connection to each
// agent and nearly all of them are idle.
type outbox struct {
	// ready holds a token while messages may wait.
	ready chan struct{}

	mu    sync.Mutex
	limit int
	items []outgoing
	// taken is how many messages at the front of items were taken.
	taken int
}

func newOutbox(limit int) *outbox {
	return &outbox{ready: make(chan struct{}, 1), limit: limit}
}

// push appends a message. It returns false when the outbox is full.
func (o *outbox) push(item outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.items)-o.taken >= o.limit {
		return false
	}
	if o.taken > 0 && len(o.items) == cap(o.items) {
		o.compact()
	}
	o.items = append(o.items, item)
	o.signal()
	return true
}

// compact moves the messages that wait to the front of the buffer.
func (o *outbox) compact() {
	waiting := copy(o.items, o.items[o.taken:])
	clear(o.items[waiting:])
	o.items, o.taken = o.items[:waiting], 0
}

// take appends at most limit of the messages that wait to batch, in order.
func (o *outbox) take(batch []outgoing, limit int) []outgoing {
	o.mu.Lock()
	defer o.mu.Unlock()
	end := min(o.taken+limit, len(o.items))
	batch = append(batch, o.items[o.taken:end]...)
	clear(o.items[o.taken:end])
	o.taken = end
	if o.taken < len(o.items) {
		o.signal()
		return batch
	}
	o.items, o.taken = o.items[:0], 0
	if cap(o.items) > keptOutgoing {
		o.items = nil
	}
	return batch
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
