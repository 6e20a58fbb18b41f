package tablestore

// Coalescer lets readers of the same key share calls. A reader that comes
// while a call is under way waits for the next one, since the row may have
// been read before the reader asked. W stands for a waiting reader.
type Coalescer[W any] struct {
	keys map[string]*sharedCall[W]
}

// sharedCall is the call under way for one key: current holds the readers that
// it answers, next those that came since it began.
type sharedCall[W any] struct {
	current []W
	next    []W
}

// NewCoalescer returns a coalescer without calls.
func NewCoalescer[W any]() *Coalescer[W] {
	return &Coalescer[W]{keys: map[string]*sharedCall[W]{}}
}

// Join adds a reader. It returns true when the caller is to start a call now.
func (c *Coalescer[W]) Join(key string, waiter W) bool {
	call := c.keys[key]
	if call == nil {
		c.keys[key] = &sharedCall[W]{current: []W{waiter}}
		return true
	}
	call.next = append(call.next, waiter)
	return false
}

// Done ends the call for a key. It returns the readers that it answers, and
// whether another call is to be started for those that came meanwhile.
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
