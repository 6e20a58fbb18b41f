package ctl

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/operatorapi"
)

// decodeAnswer decodes an entry host's answer into target. It refuses one that
// lacks a field which an entry host always sends, such as an empty object or
// the answer to another call.
func decodeAnswer(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return errors.Wrap(err, "not the expected JSON")
	}
	required := requiredKeys(target)
	if len(required) == 0 {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return errors.Wrap(err, "not the expected JSON")
	}
	for _, key := range required {
		if _, ok := fields[key]; !ok {
			return errors.Newf("no %q in it", key)
		}
	}
	return nil
}

// requiredKeys returns the JSON keys that are never left out of a struct.
func requiredKeys(target any) []string {
	typ := reflect.TypeOf(target).Elem()
	if typ.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range typ.NumField() {
		key, options, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		if key != "" && key != "-" && !strings.Contains(options, "omit") {
			keys = append(keys, key)
		}
	}
	return keys
}

// unreadable is the failure of a call whose answer tells nothing.
func unreadable(k call, entry, format string, args ...any) error {
	text := fmt.Sprintf("entry host %s: ", entry) + fmt.Sprintf(format, args...)
	if k.changes() {
		return fail(ExitInDoubt, "the call may have taken effect: %s", text)
	}
	return fail(ExitNotAccepted, "%s", text)
}

// changes reports whether a call may change something.
func (k call) changes() bool { return k.method != fasthttp.MethodGet }

// unreachable is the failure of a call that no entry host answered.
func unreachable(k call, r reply, err error) error {
	if k.changes() && r.ambiguous {
		return fail(ExitInDoubt, "the call may have taken effect: %v", err)
	}
	return fail(ExitNotAccepted, "nothing changed: %v", err)
}

// refusal is the failure of a call that was answered with an error. Only a
// status of 400 to 499, and 503, says that nothing changed.
func refusal(k call, r reply) error {
	var body operatorapi.ErrorBody
	if json.Unmarshal(r.body, &body) != nil || body.Sentence == "" {
		body.Sentence = fmt.Sprintf("entry host %s answered with status %d.", r.entry, r.status)
	}
	text := body.Sentence
	if body.Code != "" {
		text = fmt.Sprintf("%s: %s", body.Code, body.Sentence)
	}
	if r.retryAfter != "" {
		text += fmt.Sprintf(" Come back in %s s.", r.retryAfter)
	}
	switch {
	case r.ambiguous && k.changes():
		return fail(ExitInDoubt, "an earlier attempt may have taken effect; the last answer was %s", text)
	case r.status == fasthttp.StatusServiceUnavailable:
		return fail(ExitNotAccepted, "%s", text)
	case r.status == fasthttp.StatusConflict:
		return fail(ExitConflict, "%s", text)
	case r.isRefused():
		return fail(ExitRefused, "%s", text)
	default:
		return unreadable(k, r.entry, "%s", text)
	}
}

// isRefused reports whether a status says that the call changed nothing.
func (r reply) isRefused() bool {
	return r.status >= fasthttp.StatusBadRequest && r.status < fasthttp.StatusInternalServerError
}
