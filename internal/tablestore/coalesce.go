package tablestore

// Coalescer lets concurrent readers of the same key share calls. A reader that
// joins while a call is in flight waits for the next one, since the service may
// have read the row before that reader asked. W identifies a waiting reader. A
// Coalescer is not safe for concurrent use.
type Coalescer[W any] struct {
	keys map[string]*sharedCall[W]
}

// sharedCall is the call in flight for one key: current holds the readers that
// get its result, next those that joined after it started.
type sharedCall[W any] struct {
	current []W
	next    []W
}

// NewCoalescer returns a coalescer with no calls in flight.
func NewCoalescer[W any]() *Coalescer[W] {
	return &Coalescer[W]{keys: map[string]*sharedCall[W]{}}
}

// Join adds a reader. It returns true when no call is in flight for the key: the
// caller must start one.
func (c *Coalescer[W]) Join(key string, waiter W) bool {
	call := c.keys[key]
	if call == nil {
		c.keys[key] = &sharedCall[W]{current: []W{waiter}}
		return true
	}
	call.next = append(call.next, waiter)
	return false
}

// Done ends the call in flight for a key. It returns the readers that get its
// result, and whether the caller must start another call for readers that joined
// meanwhile.
func (c *Coalescer[W]) Done(key string) ([]W, bool) {
	call := c.keys[key]
	if call == nil {
		return nil, false
	}
	answered := call.current
	call.current, call.next = call.next, nil
	if len(call.current) == 0 {
		delete(c.keys, key)
		return answered, false
	}
	return answered, true
}
