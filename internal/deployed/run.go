package deployed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/shutdown"
)

// run is a process that is running: its servers, and the goroutines that they need. It
// stops in the stages of package shutdown.
type run struct {
	// signalled is done when the process is told to stop.
	signalled context.Context
	group     *errgroup.Group
	// guard keeps the clients of all servers within the machine.
	guard *httpserver.Guard
	// accepting is done when the servers take no more calls. working is done when the last
	// call has its answer, or when a part of the process has failed.
	accepting, working         context.Context
	stopAccepting, stopWorking context.CancelFunc
	schedule                   atomic.Pointer[shutdown.Schedule]
	// expired is closed when the process has to end.
	expired chan struct{}
}

func newRun(signalled context.Context, guard *httpserver.Guard) *run {
	r := &run{signalled: signalled, guard: guard, expired: make(chan struct{})}
	r.group, r.working = errgroup.WithContext(context.WithoutCancel(signalled))
	r.working, r.stopWorking = context.WithCancel(r.working)
	r.accepting, r.stopAccepting = context.WithCancel(r.working)
	return r
}

// work runs f until the last call has its answer.
func (r *run) work(f func(ctx context.Context)) {
	r.group.Go(func() error { f(r.working); return nil })
}

// serve runs an HTTP server that takes calls until ctx is done. It then waits for the
// calls in progress until the process has to end. The returned channel is closed when
// no call is in progress any more.
func (r *run) serve(ctx context.Context, server *fasthttp.Server, face httpserver.Face, address string) (drained <-chan struct{}, err error) {
	listener, err := listen(r.signalled, address)
	if err != nil {
		return nil, err
	}
	s := httpserver.NewGuarded(server, listener, r.guard, face)
	done := make(chan struct{})
	r.group.Go(s.Serve)
	r.group.Go(func() error {
		defer close(done)
		<-ctx.Done()
		within, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.exitBy())
		defer cancel()
		// Connections that are still open then end with the process.
		_ = s.Shutdown(within)
		return nil
	})
	return done, nil
}

// stopOnSignal stops the process when it is told to. begin is called first, and returns
// the time until which calls are taken; drained are the channels of the servers whose
// calls are waited for.
func (r *run) stopOnSignal(grace time.Duration, begin func(shutdown.Schedule) (acceptUntil time.Time), drained ...<-chan struct{}) {
	r.group.Go(func() error {
		select {
		case <-r.working.Done():
			return nil
		case <-r.signalled.Done():
		}
		schedule := shutdown.NewSchedule(time.Now(), grace)
		r.schedule.Store(&schedule)
		time.AfterFunc(time.Until(schedule.ExitBy), func() { close(r.expired) })
		pause.For(r.working, time.Until(begin(schedule)))
		r.stopAccepting()
		for _, done := range drained {
			<-done
		}
		r.stopWorking()
		return nil
	})
}

// answerBy returns the time by which calls have to be answered, and false while the
// process is not stopping.
func (r *run) answerBy() (time.Time, bool) {
	if schedule := r.schedule.Load(); schedule != nil {
		return schedule.AnswerBy, true
	}
	return time.Time{}, false
}

// exitBy returns the time by which the process has ended, which is now if it ends
// because of a failure.
func (r *run) exitBy() time.Time {
	if schedule := r.schedule.Load(); schedule != nil {
		return schedule.ExitBy
	}
	return time.Now()
}

// wait waits until everything has ended, at most until the process has to end. What is
// in progress then is no call, but for example a read of the store that takes long.
func (r *run) wait() error {
	ended := make(chan error, 1)
	go func() { ended <- r.group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-r.expired:
		return nil
	}
}
