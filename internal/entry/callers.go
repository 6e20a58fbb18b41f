package entry

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/process"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

const pathRequest = callerapi.PathRequests + "/"

func (p *Process) registerCallers() {
	p.HandleHTTP(fasthttp.MethodPost, callerapi.PathRequests, p.serveRequest)
	p.HandleHTTP(fasthttp.MethodGet, pathRequest, p.serveLookup)
}

func (p *Process) serveRequest(ctx *fasthttp.RequestCtx) {
	if len(ctx.Path()) != len(callerapi.PathRequests) {
		process.WriteError(ctx, fasthttp.StatusNotFound, "no_such_path", "Requests are posted to "+callerapi.PathRequests+".")
		return
	}
	request, bad := p.parseRequest(ctx)
	if bad != nil {
		process.WriteError(ctx, fasthttp.StatusBadRequest, bad.code, bad.sentence)
		return
	}
	answer, err := p.Requests.ask(func(caller requestflow.Caller) requestflow.Input {
		return requestflow.Submit{Request: request, Caller: caller}
	})
	if err != nil {
		answer.outcome = overloaded(err)
	}
	writeOutcome(ctx, request.ID, &answer.outcome)
}

func (p *Process) serveLookup(ctx *fasthttp.RequestCtx) {
	id := strings.TrimPrefix(string(ctx.Path()), pathRequest)
	if !isRequestID(id) {
		process.WriteError(ctx, fasthttp.StatusBadRequest, callerapi.CodeBadRequestID, requestIDSentence)
		return
	}
	account, bad := parseAccount(&ctx.Request.Header)
	if bad != nil {
		process.WriteError(ctx, fasthttp.StatusBadRequest, bad.code, bad.sentence)
		return
	}
	request := model.RequestID(id)
	answer, err := p.Requests.ask(func(caller requestflow.Caller) requestflow.Input {
		return requestflow.Query{Request: request, Account: account, Caller: caller}
	})
	if err != nil {
		outcome := overloaded(err)
		writeOutcome(ctx, request, &outcome)
		return
	}
	writeState(ctx, request, answer)
}

// callerRetry is when a caller should ask again for a request that is in
// progress, sealed, or did not reach the request core.
const callerRetry = 200 * time.Millisecond

// overloaded is the outcome of a request that did not reach the request core.
// An earlier submission of the same ID may have run, so it is not "not_run".
func overloaded(err error) model.Outcome {
	reason := model.ReasonQueueFull
	if err == errEnded {
		reason = model.ReasonEntryStopping
	}
	return model.Outcome{Kind: model.OutcomeUnknown, Reason: reason, RetryAfter: callerRetry}
}

// writeOutcome answers a caller with the final outcome of its request.
func writeOutcome(ctx *fasthttp.RequestCtx, request model.RequestID, outcome *model.Outcome) {
	ctx.Response.Header.Set(callerapi.HeaderRequestID, string(request))
	ctx.Response.Header.Set(callerapi.HeaderOutcome, outcome.Kind.String())
	if outcome.Kind == model.OutcomeAnswered {
		ctx.SetStatusCode(outcome.Status)
		ctx.SetContentType("application/octet-stream")
		ctx.Response.SetBodyRaw(outcome.Body)
		return
	}
	status := outcomeStatus(outcome)
	body := callerapi.OutcomeBody{
		Request: request, Outcome: outcome.Kind.String(), Reason: outcome.Reason,
		RetryAfterMS: outcome.RetryAfter.Milliseconds(), Sentence: outcomeSentence(outcome.Kind, outcome.Reason),
	}
	if outcome.Kind == model.OutcomeBackendFailed {
		body.BackendStatus, body.BackendBody = outcome.Status, outcome.Body
	}
	setRetryAfter(ctx, outcome.RetryAfter)
	process.WriteJSON(ctx, status, body)
}

// outcomeStatus returns the HTTP status of an outcome without an answer.
func outcomeStatus(outcome *model.Outcome) int {
	switch outcome.Kind {
	case model.OutcomeBackendFailed:
		return fasthttp.StatusBadGateway
	case model.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	case model.OutcomeRefused:
		return refusalStatus(outcome.Reason)
	default:
		return fasthttp.StatusGatewayTimeout
	}
}

func refusalStatus(reason model.Reason) int {
	switch reason {
	case model.ReasonBodyMismatch:
		return fasthttp.StatusConflict
	case model.ReasonUnknownAccount:
		return fasthttp.StatusForbidden
	case model.ReasonTooManyCallers:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusBadRequest
	}
}

func outcomeSentence(kind model.OutcomeKind, reason model.Reason) string {
	switch kind {
	case model.OutcomeBackendFailed:
		return "The backend server ran the request and reported a failure."
	case model.OutcomeNotRun:
		return "The request did not run and will not run; it may be sent again under a new ID."
	case model.OutcomeRefused:
		return refusalSentence(reason)
	default:
		return "It is not known whether the request ran; look it up by its ID before sending it under another."
	}
}

// refusalSentence explains why a request was refused. It changed nothing.
func refusalSentence(reason model.Reason) string {
	switch reason {
	case model.ReasonBodyMismatch:
		return "The request ID was used before with another body; a new request needs a new ID."
	case model.ReasonUnknownAccount:
		return "The client account is not part of the configuration."
	case model.ReasonTooManyCallers:
		return "Too many callers wait for this request already."
	default:
		return "The request is not valid as it was sent."
	}
}

// setRetryAfter sets the header in whole seconds, rounded up.
func setRetryAfter(ctx *fasthttp.RequestCtx, wait time.Duration) {
	if wait > 0 {
		seconds := int(math.Ceil(wait.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
}

// writeState answers a look-up.
func writeState(ctx *fasthttp.RequestCtx, request model.RequestID, answer reply) {
	unknown := model.Outcome{Kind: model.OutcomeUnknown, RetryAfter: time.Second}
	switch answer.state {
	case wire.StateFinished:
		writeOutcome(ctx, request, &answer.outcome)
	case wire.StateClaimed, wire.StateRunning:
		setRetryAfter(ctx, callerRetry)
		process.WriteJSON(ctx, fasthttp.StatusAccepted, callerapi.OutcomeBody{
			Request: request, Outcome: callerapi.OutcomeInProgress, Reason: model.ReasonInProgress,
			RetryAfterMS: callerRetry.Milliseconds(), Sentence: "The request is in progress.",
		})
	case wire.StateAbsent:
		process.WriteError(ctx, fasthttp.StatusNotFound, callerapi.CodeNoSuchRequest, "No request with this ID was seen.")
	case wire.StateSealed, wire.StateRejected:
		writeOutcome(ctx, request, &model.Outcome{Kind: model.OutcomeNotRun, Reason: model.ReasonSealed, RetryAfter: callerRetry})
	case wire.StateExpired:
		unknown.Reason = model.ReasonAnswerExpired
		writeOutcome(ctx, request, &unknown)
	case wire.StateOutsideHorizon:
		unknown.Reason = model.ReasonOutsideHorizon
		writeOutcome(ctx, request, &unknown)
	default:
		unknown.Reason = model.ReasonHomeUnreachable
		writeOutcome(ctx, request, &unknown)
	}
}
