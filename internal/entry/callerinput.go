package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/model"
)

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

const requestIDSentence = "The request ID must be a UUID of version 7 in its canonical form, in lower case."

// parseRequest reads a caller's request. It takes the body out of ctx, so that
// the body outlives the handler.
func (p *Process) parseRequest(ctx *fasthttp.RequestCtx) (model.Request, *inputError) {
	header := &ctx.Request.Header
	id := string(header.Peek(callerapi.HeaderRequestID))
	if !isRequestID(id) {
		return model.Request{}, &inputError{callerapi.CodeBadRequestID, requestIDSentence}
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
		return "", &inputError{callerapi.CodeBadClientAccount, callerapi.HeaderAccount + " must name the client account."}
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
		return false, &inputError{callerapi.CodeBadIdempotent, callerapi.HeaderIdempotent + ` must be "true" or "false".`}
	}
}

func (p *Process) parseDeadline(value string) (time.Duration, *inputError) {
	limits := p.Config.Settings.Timeouts
	if value == "" {
		return limits.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > limits.MaxDeadline.Milliseconds() {
		return 0, &inputError{callerapi.CodeBadDeadline, callerapi.HeaderDeadlineMS + " must be a whole number of milliseconds from 1 to " +
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
		return 0, &inputError{callerapi.CodeBadSlots, callerapi.HeaderSlots + " must be a whole number from 1 to " + strconv.Itoa(maxSlots) + "."}
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
