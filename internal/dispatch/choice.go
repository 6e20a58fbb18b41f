package dispatch

// choice holds how well each worker of a set suits the next task of a unit.
// Load pattern: wide units and hundreds of workers. A task changes the score of
// the workers that it is about, and only these are scored anew.
type choice[S any] struct {
	workers []*worker
	scores  []S
	fits    []bool
	// index is made when the first worker changes; most units find no place.
	index map[*worker]int
	// score returns how well a worker suits, and false when it takes no task.
	score func(*worker) (S, bool)
	// better reports whether a score goes before another one.
	better func(a, b *S) bool
}

func newChoice[S any](workers []*worker, score func(*worker) (S, bool), better func(a, b *S) bool) *choice[S] {
	c := &choice[S]{
		workers: workers, scores: make([]S, len(workers)), fits: make([]bool, len(workers)), score: score, better: better,
	}
	for i, w := range workers {
		c.scores[i], c.fits[i] = score(w)
	}
	return c
}

// best returns the worker that suits best with its score, or nil. Of equal ones
// the first is taken.
func (c *choice[S]) best() (*worker, S) {
	found := -1
	for i := range c.workers {
		if c.fits[i] && (found < 0 || c.better(&c.scores[i], &c.scores[found])) {
			found = i
		}
	}
	if found < 0 {
		var none S
		return nil, none
	}
	return c.workers[found], c.scores[found]
}

// changed scores a worker anew.
func (c *choice[S]) changed(w *worker) {
	if c.index == nil {
		c.index = make(map[*worker]int, len(c.workers))
		for i, w := range c.workers {
			c.index[w] = i
		}
	}
	if i, known := c.index[w]; known {
		c.scores[i], c.fits[i] = c.score(w)
	}
}
