package tablestore

// Coalescer lets readers of the same key share calls. A reader that comes
// while a call is under way waits for the next one, since the row may have
// been read before the reader asked. W stands for a waiting reader.
type Coalescer[W any] struct {
	keys map[string]*flight[W]
}

type flight[W any] struct {
	current []W
	next    []W
}

// NewCoalescer returns a coalescer without calls.
func NewCoalescer[W any]() *Coalescer[W] {
	return &Coalescer[W]{keys: map[string]*flight[W]{}}
}

// Join adds a reader. It returns true when the caller is to start a call now.
func (c *Coalescer[W]) Join(key string, waiter W) bool {
	f := c.keys[key]
	if f == nil {
		c.keys[key] = &flight[W]{current: []W{waiter}}
		return true
	}
	f.next = append(f.next, waiter)
	return false
}

// Done ends the call for a key. It returns the readers that it answers, and
// whether another call is to be started for those that came meanwhile.
func (c *Coalescer[W]) Done(key string) ([]W, bool) {
	f := c.keys[key]
	if f == nil {
		return nil, false
	}
	answered := f.current
	f.current, f.next = f.next, nil
	if len(f.current) == 0 {
		delete(c.keys, key)
		return answered, false
	}
	return answered, true
}
