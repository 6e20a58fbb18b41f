package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/process"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

const pathRequest = callerapi.PathRequests + "/"

const (
	maxAccountBytes = 64
	maxSlots        = 1024
	requestIDBytes  = 36
	uuidVersion     = 7
)

// inputError is why a caller's request is refused before it is looked at.
type inputError struct {
	code, sentence string
}

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
		process.WriteError(ctx, fasthttp.StatusBadRequest, "bad_request_id", requestIDSentence)
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

// overloaded is the outcome of a request that did not reach the request core.
// An earlier submission of the same ID may have run, so it is not "not_run".
func overloaded(err error) model.Outcome {
	const retryAfter = 200 * time.Millisecond
	reason := model.ReasonQueueFull
	if err == errEnded {
		reason = model.ReasonEntryStopping
	}
	return model.Outcome{Kind: model.OutcomeUnknown, Reason: reason, RetryAfter: retryAfter}
}

const requestIDSentence = "The request ID must be a UUID of version 7 in its canonical form, in lower case."

// parseRequest reads a caller's request. It takes the body out of ctx, so that
// the body outlives the handler.
func (p *Process) parseRequest(ctx *fasthttp.RequestCtx) (model.Request, *inputError) {
	header := &ctx.Request.Header
	id := string(header.Peek(callerapi.HeaderRequestID))
	if !isRequestID(id) {
		return model.Request{}, &inputError{"bad_request_id", requestIDSentence}
	}
	account, bad := parseAccount(header)
	if bad != nil {
		return model.Request{}, bad
	}
	idempotent, bad := parseIdempotent(string(header.Peek(callerapi.HeaderIdempotent)))
	if bad != nil {
		return model.Request{}, bad
	}
	timeout, bad := p.parseDeadline(string(header.Peek(callerapi.HeaderDeadlineMS)))
	if bad != nil {
		return model.Request{}, bad
	}
	slots, bad := parseSlots(string(header.Peek(callerapi.HeaderSlots)))
	if bad != nil {
		return model.Request{}, bad
	}
	body := ctx.Request.SwapBody(nil)
	return model.Request{
		ID: model.RequestID(id), Account: account, Idempotent: idempotent,
		Deadline: p.Now().Add(timeout), BodyHash: requestHash(string(account), idempotent, body),
		Slots: slots, Body: body,
	}, nil
}

func parseAccount(header *fasthttp.RequestHeader) (model.ClientAccountID, *inputError) {
	account := string(header.Peek(callerapi.HeaderAccount))
	if account == "" || len(account) > maxAccountBytes {
		return "", &inputError{"bad_client_account", callerapi.HeaderAccount + " must name the client account."}
	}
	return model.ClientAccountID(account), nil
}

func isRequestID(id string) bool {
	if len(id) != requestIDBytes || strings.ToLower(id) != id {
		return false
	}
	parsed, err := uuid.Parse(id)
	return err == nil && parsed.Version() == uuidVersion && parsed.Variant() == uuid.RFC4122
}

func parseIdempotent(value string) (bool, *inputError) {
	switch value {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	default:
		return false, &inputError{"bad_idempotent", callerapi.HeaderIdempotent + ` must be "true" or "false".`}
	}
}

func (p *Process) parseDeadline(value string) (time.Duration, *inputError) {
	limits := p.Config.Settings.Timeouts
	if value == "" {
		return limits.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > limits.MaxDeadline.Milliseconds() {
		return 0, &inputError{"bad_deadline", callerapi.HeaderDeadlineMS + " must be a whole number of milliseconds from 1 to " +
			strconv.FormatInt(limits.MaxDeadline.Milliseconds(), 10) + "."}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parseSlots(value string) (int, *inputError) {
	if value == "" {
		return 1, nil
	}
	slots, err := strconv.Atoi(value)
	if err != nil || slots < 1 || slots > maxSlots {
		return 0, &inputError{"bad_slots", callerapi.HeaderSlots + " must be a whole number from 1 to " + strconv.Itoa(maxSlots) + "."}
	}
	return slots, nil
}

// requestHash tells a resent request from another one with the same ID. It
// covers the account and the idempotence mark, so that no account is given the
// answer of another and no request changes its mark.
func requestHash(account string, idempotent bool, body []byte) uint64 {
	var stack [maxAccountBytes + len("\x00false")]byte
	prefix := append(stack[:0], account...)
	prefix = strconv.AppendBool(append(prefix, 0), idempotent)
	digest := sha256.New()
	_, _ = digest.Write(prefix)
	_, _ = digest.Write(body)
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(digest.Sum(sum[:0]))
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
	const retryAfter = 200 * time.Millisecond
	unknown := model.Outcome{Kind: model.OutcomeUnknown, RetryAfter: time.Second}
	switch answer.state {
	case wire.StateFinished:
		writeOutcome(ctx, request, &answer.outcome)
	case wire.StateClaimed, wire.StateRunning:
		setRetryAfter(ctx, retryAfter)
		process.WriteJSON(ctx, fasthttp.StatusAccepted, callerapi.OutcomeBody{
			Request: request, Outcome: callerapi.OutcomeInProgress, Reason: model.ReasonInProgress,
			RetryAfterMS: retryAfter.Milliseconds(), Sentence: "The request is in progress.",
		})
	case wire.StateAbsent:
		process.WriteError(ctx, fasthttp.StatusNotFound, "no_such_request", "No request with this ID was seen.")
	case wire.StateSealed, wire.StateRejected:
		writeOutcome(ctx, request, &model.Outcome{Kind: model.OutcomeNotRun, Reason: model.ReasonSealed, RetryAfter: retryAfter})
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
