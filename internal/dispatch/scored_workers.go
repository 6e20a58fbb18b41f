package dispatch

// scoredWorkers holds the score of each worker of a set for the next task of a
// unit. Load pattern: wide units and hundreds of workers. Placing a task changes
// the scores of few workers, and only these are computed again.
type scoredWorkers[S any] struct {
	workers  []*worker
	scores   []S
	feasible []bool
	// index is built when the first worker is rescored, because most units find
	// no worker.
	index map[*worker]int
	// score returns the score of a worker, and false if it can't take a task.
	score func(*worker) (S, bool)
	// better reports whether score a is better than score b.
	better func(a, b *S) bool
}

func newScoredWorkers[S any](workers []*worker, score func(*worker) (S, bool), better func(a, b *S) bool) *scoredWorkers[S] {
	s := &scoredWorkers[S]{
		workers: workers, scores: make([]S, len(workers)), feasible: make([]bool, len(workers)), score: score, better: better,
	}
	s.rescoreAll()
	return s
}

// rescoreAll computes the scores of all workers again.
func (s *scoredWorkers[S]) rescoreAll() {
	for i, w := range s.workers {
		s.scores[i], s.feasible[i] = s.score(w)
	}
}

// best returns the worker with the best score, and that score; the first one of
// equal workers. It returns nil if no worker can take a task.
func (s *scoredWorkers[S]) best() (*worker, S) {
	if found := s.find(s.better); found >= 0 {
		return s.workers[found], s.scores[found]
	}
	var none S
	return nil, none
}

// bestBy returns the best score by another order, and false if no worker can take a task.
func (s *scoredWorkers[S]) bestBy(better func(a, b *S) bool) (S, bool) {
	if found := s.find(better); found >= 0 {
		return s.scores[found], true
	}
	var none S
	return none, false
}

// find returns the index of the best worker by an order, -1 if none can take a task.
func (s *scoredWorkers[S]) find(better func(a, b *S) bool) int {
	found := -1
	for i := range s.workers {
		if s.feasible[i] && (found < 0 || better(&s.scores[i], &s.scores[found])) {
			found = i
		}
	}
	return found
}

// rescore computes the score of a worker again.
func (s *scoredWorkers[S]) rescore(w *worker) {
	if s.index == nil {
		s.index = make(map[*worker]int, len(s.workers))
		for i, w := range s.workers {
			s.index[w] = i
		}
	}
	if i, known := s.index[w]; known {
		s.scores[i], s.feasible[i] = s.score(w)
	}
}
