package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/httpconn"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
)

// backendPath is the path at which a backend server takes requests.
const backendPath = "/run"

// backendCaller calls the backend server, with one goroutine for each of the
// connections that the backend server allows.
type backendCaller struct {
	client  *hostClient
	uri     string
	now     func() time.Time
	callers int
	calls   *ring.Ring[model.Request]
	results *ring.Ring[executor.BackendDone]
}

// newBackendCaller returns a caller whose rings hold as many calls as there
// are connections: the executor starts no more than that at the same time.
func newBackendCaller(p *Process) *backendCaller {
	server := p.Config.Settings.BackendServer
	return &backendCaller{
		client:  newHostClient(server.Address, server.Connections, p.Config.Settings.Limits.MaxAnswerBytes, server.Timeout),
		uri:     "http://" + server.Address + backendPath,
		now:     p.Now,
		callers: server.Connections,
		calls:   ring.New[model.Request]("backend.calls", 2*server.Connections, p.Metrics),
		results: ring.New[executor.BackendDone]("backend.results", 4*server.Connections, p.Metrics),
	}
}

// start queues a call. It returns false when the ring is full.
func (b *backendCaller) start(request model.Request) bool { return b.calls.TryPush(request) }

// run is the duty: it calls until ctx is done.
func (b *backendCaller) run(ctx context.Context) error {
	var running sync.WaitGroup
	for range b.callers {
		running.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case request := <-b.calls.Out():
					b.results.Push(ctx, b.call(request))
				}
			}
		})
	}
	running.Wait()
	return nil
}

// call does one call of the backend server.
func (b *backendCaller) call(request model.Request) executor.BackendDone {
	left := request.Deadline.Sub(b.now())
	if left <= 0 {
		return executor.BackendDone{Request: request.ID, Result: executor.BackendNotStarted}
	}
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI(b.uri)
	call.Header.SetMethod(fasthttp.MethodPost)
	call.Header.Set(callerapi.HeaderRequestID, string(request.ID))
	call.Header.Set(callerapi.HeaderAccount, string(request.Account))
	call.Header.Set(callerapi.HeaderIdempotent, strconv.FormatBool(request.Idempotent))
	call.Header.Set(callerapi.HeaderDeadlineMS, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	call.SetBodyRaw(request.Body)
	err := b.client.do(call, answer)
	return backendResult(request.ID, answer, err)
}

func backendResult(id model.RequestID, answer *fasthttp.Response, err error) executor.BackendDone {
	done := executor.BackendDone{Request: id}
	switch {
	case err == nil && isOfAnother(id, answer):
		done.Result = executor.BackendLost
		return done
	case err == nil && answer.StatusCode() < fasthttp.StatusBadRequest:
		done.Result = executor.BackendAnswered
	case err == nil:
		done.Result = executor.BackendFailed
	case errors.Is(err, httpconn.ErrNotSent):
		done.Result = executor.BackendNotStarted
		return done
	default:
		done.Result = executor.BackendLost
		return done
	}
	done.Status = answer.StatusCode()
	done.Body = answer.SwapBody(nil)
	return done
}

// isOfAnother reports whether an answer names another request than the call.
func isOfAnother(id model.RequestID, answer *fasthttp.Response) bool {
	named := answer.Header.Peek(callerapi.HeaderRequestID)
	return len(named) > 0 && string(named) != string(id)
}
