package operatorapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dragonflyyard/internal/model"
)

// Codes of refused input.
const (
	CodeMalformedJSON = "malformed_json"
	CodeTooLarge      = "body_too_large"
	CodeBadID         = "bad_id"
	CodeBadObject     = "bad_object"
	CodeBadValue      = "bad_value"
	CodeBadShape      = "bad_shape"
	CodeBadDeadline   = "bad_deadline"
)

// InputError says why a body is refused. Nothing was changed.
type InputError struct {
	Code     string
	Sentence string
}

// Error implements error.
func (e *InputError) Error() string { return e.Code + ": " + e.Sentence }

// Status returns the HTTP status of the refusal.
func (e *InputError) Status() int {
	if e.Code == CodeTooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func refuse(code, format string, args ...any) *InputError {
	return &InputError{Code: code, Sentence: fmt.Sprintf(format, args...)}
}

// decodeStrict decodes one JSON value without unknown fields and without
// anything after it.
func decodeStrict(body []byte, target any) *InputError {
	if err := CheckSize(body); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return refuse(CodeMalformedJSON, "The body is not the expected JSON: %v.", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return refuse(CodeMalformedJSON, "The body goes on after the JSON value.")
	}
	return nil
}

// CheckSize refuses a body that is larger than any call's.
func CheckSize(body []byte) *InputError {
	if len(body) > MaxBodyBytes {
		return refuse(CodeTooLarge, "The body has %d bytes; at most %d are allowed.", len(body), MaxBodyBytes)
	}
	return nil
}

// checkID checks an ID that appears in paths and keys.
func checkID(kind, id string) *InputError {
	if id == "" || len(id) > MaxIDBytes {
		return refuse(CodeBadID, "The %s ID must have 1 to %d bytes.", kind, MaxIDBytes)
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || strings.ContainsRune(`/?#%"\`, r) {
			return refuse(CodeBadID, "The %s ID %q holds a character that is not allowed.", kind, id)
		}
	}
	return nil
}

// DecodeChange decodes and checks the body of POST /v1/changes. It checks what
// can be seen without the current configuration.
func DecodeChange(body []byte) (model.ConfigChange, *InputError) {
	var c model.ConfigChange
	if err := decodeStrict(body, &c); err != nil {
		return c, err
	}
	if err := checkID("change", string(c.ID)); err != nil {
		return c, err
	}
	if len(c.Operator) > MaxIDBytes {
		return c, refuse(CodeBadValue, "The operator's name must have at most %d bytes.", MaxIDBytes)
	}
	if c.Version != 0 {
		return c, refuse(CodeBadValue, "The version is given by the system; leave it out.")
	}
	return c, checkChangeObject(c)
}

func checkChangeObject(c model.ConfigChange) *InputError {
	values := 0
	for _, set := range []bool{c.Zone != "", c.Account != nil, c.Guarantee != nil, c.Weights != nil} {
		if set {
			values++
		}
	}
	if c.Delete && values != 0 {
		return refuse(CodeBadValue, "A deletion carries no value.")
	}
	if !c.Delete && values != 1 {
		return refuse(CodeBadValue, "Exactly one of zone, account, guarantee and weights must be set.")
	}
	kind, name, _ := strings.Cut(c.Object, "/")
	switch {
	case c.Object == "weights":
		return checkWeights(c)
	case kind == "zone":
		return checkZoneChange(c, name)
	case kind == "account":
		return checkAccountChange(c, name)
	case kind == "guarantee":
		return checkGuaranteeChange(c, name)
	default:
		return refuse(CodeBadObject, "The object %q is none of zone/NAME, account/ID, guarantee/NAME and weights.", c.Object)
	}
}

func checkWeights(c model.ConfigChange) *InputError {
	if c.Delete || c.Weights == nil {
		return refuse(CodeBadObject, "The object weights takes weights and cannot be deleted.")
	}
	w := c.Weights
	for _, weight := range []float64{w.CompletionTime, w.Fragmentation, w.WorkInZoneChange} {
		if !(weight >= 0 && weight <= 1) {
			return refuse(CodeBadValue, "A weight must lie between 0 and 1.")
		}
	}
	return nil
}

func checkZoneChange(c model.ConfigChange, name string) *InputError {
	if err := checkID("zone", name); err != nil {
		return err
	}
	if !c.Delete && c.Zone != model.ZoneIn && c.Zone != model.ZoneOut {
		return refuse(CodeBadValue, `The object %s takes zone "in" or "out".`, c.Object)
	}
	return nil
}

func checkAccountChange(c model.ConfigChange, id string) *InputError {
	if err := checkID("account", id); err != nil || c.Delete {
		return err
	}
	if c.Account == nil || string(c.Account.ID) != id {
		return refuse(CodeBadObject, "The object %s takes an account with the same ID.", c.Object)
	}
	return CheckAccount(*c.Account)
}

func checkGuaranteeChange(c model.ConfigChange, name string) *InputError {
	if err := checkID("guarantee", name); err != nil || c.Delete {
		return err
	}
	if c.Guarantee == nil || c.Guarantee.Name != name {
		return refuse(CodeBadObject, "The object %s takes a guarantee with the same name.", c.Object)
	}
	return CheckGuarantee(*c.Guarantee)
}

const (
	maxWeight = 1_000_000
	maxQueued = 1_000_000
	maxCount  = 100_000
)

// CheckAccount checks a client account's own values.
func CheckAccount(a model.ClientAccount) *InputError {
	if err := checkID("account", string(a.ID)); err != nil {
		return err
	}
	if a.Weight < 1 || a.Weight > maxWeight {
		return refuse(CodeBadValue, "The weight of account %s is %d; 1 to %d are allowed.", a.ID, a.Weight, maxWeight)
	}
	if a.MaxQueued < 0 || a.MaxQueued > maxQueued {
		return refuse(CodeBadValue, "max_queued of account %s is %d; 0 to %d are allowed.", a.ID, a.MaxQueued, maxQueued)
	}
	return nil
}

// CheckGuarantee checks a guaranteed shape's own values.
func CheckGuarantee(g model.GuaranteedShape) *InputError {
	if err := checkID("guarantee", g.Name); err != nil {
		return err
	}
	if err := checkID("account", string(g.Account)); err != nil {
		return err
	}
	if g.Count < 1 || g.Count > maxCount {
		return refuse(CodeBadValue, "The count of guarantee %s is %d; 1 to %d are allowed.", g.Name, g.Count, maxCount)
	}
	return CheckShape(g.Shape)
}

const (
	maxAccelerators = 64
	maxCores        = 4096
	maxMemoryMB     = 64 << 20
)

// CheckShape checks a shape's own values. Whether the fleet has room for it is
// not looked at.
func CheckShape(s model.Shape) *InputError {
	if s.Tasks < 1 || s.Tasks > model.MaxGangSize {
		return refuse(CodeBadShape, "The shape has %d tasks; 1 to %d are allowed.", s.Tasks, model.MaxGangSize)
	}
	r := s.PerTask
	if r.Accelerators < 0 || r.Accelerators > maxAccelerators || r.Cores < 1 || r.Cores > maxCores ||
		r.MemoryMB < 1 || r.MemoryMB > maxMemoryMB {
		return refuse(CodeBadShape, "A task needs 0 to %d accelerators, 1 to %d cores and 1 to %d MB of memory.",
			maxAccelerators, maxCores, maxMemoryMB)
	}
	switch s.Topology {
	case model.TopologyAny, model.TopologyZone, model.TopologyRack:
		return nil
	default:
		return refuse(CodeBadShape, "The topology %q is none of any, zone and rack.", s.Topology)
	}
}

const maxRunTime = 365 * 24 * time.Hour

// DecodeJob decodes and checks the body of POST /v1/jobs.
func DecodeJob(body []byte, now time.Time) (JobRequest, *InputError) {
	var r JobRequest
	if err := decodeStrict(body, &r); err != nil {
		return r, err
	}
	return r, CheckJob(r, now)
}

// CheckJob checks a job's own values.
func CheckJob(r JobRequest, now time.Time) *InputError {
	if err := checkID("job", string(r.ID)); err != nil {
		return err
	}
	if err := checkID("account", string(r.Account)); err != nil {
		return err
	}
	if len(r.JobClass) > MaxIDBytes {
		return refuse(CodeBadValue, "The job class must have at most %d bytes.", MaxIDBytes)
	}
	if r.DeclaredRunTimeMS < 1 || r.DeclaredRunTimeMS > maxRunTime.Milliseconds() {
		return refuse(CodeBadValue, "The declared run time is %d ms; 1 to %d are allowed.", r.DeclaredRunTimeMS, maxRunTime.Milliseconds())
	}
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return refuse(CodeBadDeadline, "The deadline %s has passed.", r.Deadline.UTC().Format(time.RFC3339))
	}
	if r.Capacity != model.CapacityGuaranteed && r.Capacity != model.CapacityBorrowed {
		return refuse(CodeBadValue, "The capacity %q is neither guaranteed nor borrowed.", r.Capacity)
	}
	return CheckShape(r.Shape)
}

// DecodeCancel decodes and checks the body of POST /v1/jobs/cancel.
func DecodeCancel(body []byte) (CancelRequest, *InputError) {
	var r CancelRequest
	if err := decodeStrict(body, &r); err != nil {
		return r, err
	}
	if len(r.IDs) == 0 || len(r.IDs) > MaxCancelIDs {
		return r, refuse(CodeBadValue, "The cancellation names %d jobs; 1 to %d are allowed.", len(r.IDs), MaxCancelIDs)
	}
	for _, id := range r.IDs {
		if err := checkID("job", string(id)); err != nil {
			return r, err
		}
	}
	return r, nil
}
