package faultmatrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"dragonflyyard/internal/standin"
)

// Times of a world.
const (
	worldTick   = 50 * time.Millisecond
	callTimeout = time.Second
)

// reporter takes the failures of a world: a test, or a drawn run of one.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// timed is something that happens at an instant of a world.
type timed struct {
	at time.Time
	do func()
}

// world runs cores against one table service under a clock of its own. Calls
// take time, can be lost on either way, and can take effect after their caller
// gave up.
type world struct {
	start, now time.Time
	random     *rand.Rand
	store      *standin.Store
	// queue is sorted by time; what is due at the same time keeps its order.
	queue []timed
	// storeDown refuses calls until then; storeSlow adds delay until then;
	// answersLost loses the answers of writes until then.
	storeDown, storeSlow, answersLost time.Time
	log                               []string
	reads, writes                     callCount
}

func newWorld(seed uint64) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{start: start, now: start, random: rand.New(rand.NewPCG(seed, 1))}
	w.store = standin.NewStore(func() time.Time { return w.now })
	return w
}

// notef keeps a line that is printed when a check fails.
func (w *world) notef(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8s ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

// history returns the last lines.
func (w *world) history() string {
	const last = 40
	return strings.Join(w.log[max(0, len(w.log)-last):], "\n")
}

// after does something later.
func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	place := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at.After(at) })
	w.queue = slices.Insert(w.queue, place, timed{at, do})
}

// run lets time pass. each is called at each tick.
func (w *world) run(length time.Duration, each func()) {
	end := w.now.Add(length)
	for w.now.Before(end) {
		tick := w.now.Add(worldTick)
		for w.doNextBefore(tick) {
		}
		w.now = tick
		each()
	}
}

// doNextBefore does the earliest thing that is due before an instant.
func (w *world) doNextBefore(limit time.Time) bool {
	if len(w.queue) == 0 || !w.queue[0].at.Before(limit) {
		return false
	}
	next := w.queue[0]
	w.queue = w.queue[1:]
	if next.at.After(w.now) {
		w.now = next.at
	}
	next.do()
	return true
}

// between returns a random duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// putOnStore applies a fault of the table service. It returns false for others.
func (w *world) putOnStore(f Fault) bool {
	switch f {
	case TableDown:
		w.storeDown = w.now.Add(5 * time.Second)
	case TableSlow:
		w.storeSlow = w.now.Add(5 * time.Second)
	case TableAnswerLost:
		w.answersLost = w.now.Add(4 * time.Second)
	default:
		return false
	}
	return true
}

func (w *world) healStore() {
	w.storeDown, w.storeSlow, w.answersLost = time.Time{}, time.Time{}, time.Time{}
}

// callPath is one process's way to the table service, with its faults.
type callPath struct {
	w *world
	// silentUntil loses every call or its answer; slowUntil delays them.
	silentUntil, slowUntil time.Time
	// loseNext is how many of the next calls are lost on either way.
	loseNext int
	// loseAt is which of the coming calls is lost, counted from 1; 0 for none.
	loseAt int
	// duplicateUntil delivers results twice; lateUntil delivers the result of a
	// call that was given up as well, behind later ones.
	duplicateUntil, lateUntil time.Time
	// timeout is when the process gives a call up.
	timeout time.Duration
	// fixedDelay, unless zero, is the time of each way.
	fixedDelay time.Duration
	// behindRead, unless nil, is called once the next read has taken effect, whose
	// answer is then held back.
	behindRead func()
	// cuts are called to end all outstanding calls.
	cuts map[int]func()
	last int
}

func newCallPath(w *world) *callPath {
	return &callPath{w: w, timeout: callTimeout, cuts: map[int]func(){}}
}

// cut ends all outstanding calls without their results.
func (p *callPath) cut() {
	var open []int
	for id := range p.cuts {
		open = append(open, id)
	}
	sort.Ints(open)
	for _, id := range open {
		p.cuts[id]()
	}
}

// put applies a fault of the way to the table service. It returns false for others.
func (p *callPath) put(f Fault) bool {
	until := p.w.now.Add(3 * time.Second)
	switch f {
	case ConnectionSilent:
		p.silentUntil = until
	case ConnectionCut:
		p.cut()
	case ConnectionSlow:
		p.slowUntil = until
	case MessageDuplicated:
		p.duplicateUntil = until
	case MessageReordered:
		p.lateUntil = until
	case MessageLost:
		p.loseNext = 2
	default:
		return false
	}
	return true
}

func (p *callPath) heal() {
	p.silentUntil, p.slowUntil, p.duplicateUntil, p.lateUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	p.loseNext, p.loseAt, p.timeout, p.fixedDelay, p.behindRead = 0, 0, callTimeout, 0, nil
}

// send makes a call. effect applies it to the store and returns what delivers
// its result; refused delivers that the service did not take it; lost delivers
// that nothing was heard.
func (p *callPath) send(isWrite bool, effect func() func(), refused, lost func()) {
	w := p.w
	if isWrite {
		w.writes.add(w.now)
	} else {
		w.reads.add(w.now)
	}
	p.last++
	id, open := p.last, true
	finish := func(deliver func()) {
		if !open {
			return
		}
		open = false
		delete(p.cuts, id)
		deliver()
		if w.now.Before(p.duplicateUntil) {
			deliver()
		}
	}
	giveUp := func() { finish(lost) }
	p.cuts[id] = giveUp
	w.after(p.timeout, giveUp)
	requestLost, answerLost := p.fate(isWrite)
	if requestLost {
		return
	}
	w.after(p.delay(), func() {
		if w.now.Before(w.storeDown) {
			w.after(time.Millisecond, func() { finish(refused) })
			return
		}
		deliver := effect()
		if answerLost {
			return
		}
		delay := p.delay()
		if p.behindRead != nil && !isWrite {
			delay += p.timeout / 2
			w.after(0, p.behindRead)
			p.behindRead = nil
		}
		w.after(delay, func() {
			if !open && w.now.Before(p.lateUntil) {
				deliver()
			}
			finish(deliver)
		})
	})
}

// fate decides whether a call or its answer is lost.
func (p *callPath) fate(isWrite bool) (request, answer bool) {
	w := p.w
	if isWrite && w.now.Before(w.answersLost) {
		return false, true
	}
	if p.loseAt--; p.loseAt == 0 {
		return true, false
	}
	if w.now.Before(p.silentUntil) || p.loseNext > 0 {
		p.loseNext--
		lostOnTheWay := w.random.IntN(2) == 0
		return lostOnTheWay, !lostOnTheWay
	}
	return false, false
}

func (p *callPath) delay() time.Duration {
	w := p.w
	if p.fixedDelay > 0 {
		return p.fixedDelay
	}
	delay := w.between(time.Millisecond, 10*time.Millisecond)
	if w.now.Before(p.slowUntil) || w.now.Before(w.storeSlow) {
		delay += w.between(200*time.Millisecond, 450*time.Millisecond)
	}
	if w.now.Before(p.lateUntil) {
		delay += w.between(0, 2*p.timeout)
	}
	return delay
}

// firstHit is where a storm takes a step for the first time.
type firstHit struct {
	seed uint64
	// after is the time from the world's start.
	after time.Duration
}

// hits holds, for each step, the seed whose storm takes it soonest.
type hits[S comparable] map[S]firstHit

// add notes that a storm took a step.
func (h hits[S]) add(s S, seed uint64, after time.Duration) {
	if known, ok := h[s]; !ok || after < known.after {
		h[s] = firstHit{seed, after}
	}
}

// atOnce is a context for calls of the store in process, which never wait.
func atOnce() context.Context { return context.Background() }
