package configstore

import (
	"fmt"
	"maps"
	"strings"

	"dragonflyyard/internal/model"
)

// Prefixes of object keys.
const (
	ObjectZone      = "zone/"
	ObjectAccount   = "account/"
	ObjectGuarantee = "guarantee/"
	ObjectWeights   = "weights"
)

// Limits of the values in a change.
const (
	maxChangeIDBytes = 128
	minAccountWeight = 1
	maxAccountWeight = 1000
)

// Codes of a ValidationError, as returned to operators.
const (
	CodeMalformed           = "malformed_change"
	CodeUnknownObject       = "unknown_object"
	CodeUnknownAccount      = "unknown_account"
	CodeUnknownZone         = "unknown_zone"
	CodeAccountInUse        = "account_in_use"
	CodeGangTooLarge        = "gang_too_large"
	CodeOutOfRange          = "value_out_of_range"
	CodeGuaranteeDoesNotFit = "guarantee_does_not_fit"
	CodeIDReused            = "change_id_reused"
	// CodeDocumentTooLarge means that the configuration would exceed MaxDocumentBytes.
	CodeDocumentTooLarge = "configuration_too_large"
)

// ValidationError is the reason for rejecting a change. Code is machine-readable.
type ValidationError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *ValidationError) Error() string { return e.Code + ": " + e.Message }

func invalid(code, format string, args ...any) *ValidationError {
	return &ValidationError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// NewDocument returns the empty document of version zero.
func NewDocument() *model.ConfigDocument { return normalize(&model.ConfigDocument{}) }

func normalize(d *model.ConfigDocument) *model.ConfigDocument {
	if d.Accounts == nil {
		d.Accounts = map[model.ClientAccountID]model.ClientAccount{}
	}
	if d.Guarantees == nil {
		d.Guarantees = map[string]model.GuaranteedShape{}
	}
	if d.Zones == nil {
		d.Zones = map[model.AvailabilityZoneName]model.ZoneState{}
	}
	if d.ObjectVersions == nil {
		d.ObjectVersions = map[string]model.ConfigVersion{}
	}
	return d
}

// Apply validates a change and returns a new document at the next version with
// the change applied. It does not modify d.
func Apply(d *model.ConfigDocument, change model.ConfigChange) (*model.ConfigDocument, *ValidationError) {
	if err := Check(d, change); err != nil {
		return nil, err
	}
	return apply(d, change), nil
}

func apply(d *model.ConfigDocument, change model.ConfigChange) *model.ConfigDocument {
	next := &model.ConfigDocument{
		Version:        d.Version + 1,
		Accounts:       maps.Clone(d.Accounts),
		Guarantees:     maps.Clone(d.Guarantees),
		Zones:          maps.Clone(d.Zones),
		Weights:        d.Weights,
		ObjectVersions: maps.Clone(d.ObjectVersions),
	}
	next.ObjectVersions[change.Object] = next.Version
	kind, name := splitObject(change.Object)
	switch {
	case change.Delete:
		remove(next, kind, name)
		delete(next.ObjectVersions, change.Object)
	case change.Zone != "":
		next.Zones[model.AvailabilityZoneName(name)] = change.Zone
	case change.Account != nil:
		next.Accounts[change.Account.ID] = *change.Account
	case change.Guarantee != nil:
		next.Guarantees[change.Guarantee.Name] = *change.Guarantee
	case change.Weights != nil:
		next.Weights = *change.Weights
	}
	return next
}

func remove(d *model.ConfigDocument, kind, name string) {
	switch kind {
	case ObjectZone:
		delete(d.Zones, model.AvailabilityZoneName(name))
	case ObjectAccount:
		delete(d.Accounts, model.ClientAccountID(name))
	case ObjectGuarantee:
		delete(d.Guarantees, name)
	}
}

// Check validates a change against a document and returns nil if it can be
// applied. It does not compare the expected version.
func Check(d *model.ConfigDocument, change model.ConfigChange) *ValidationError {
	kind, name := splitObject(change.Object)
	if kind == "" || (name == "") != (kind == ObjectWeights) {
		return invalid(CodeUnknownObject, "object %q is not one of zone/NAME, account/ID, guarantee/NAME, weights", change.Object)
	}
	if change.ID == "" || len(change.ID) > maxChangeIDBytes {
		return invalid(CodeMalformed, "the change ID must have 1 to %d bytes", maxChangeIDBytes)
	}
	if change.Delete {
		return checkDelete(d, change, kind, name)
	}
	if countValues(change) != 1 {
		return invalid(CodeMalformed, "exactly one of zone, account, guarantee and weights must be set")
	}
	return checkValue(d, change, kind, name)
}

func countValues(change model.ConfigChange) int {
	set := 0
	for _, present := range []bool{change.Zone != "", change.Account != nil, change.Guarantee != nil, change.Weights != nil} {
		if present {
			set++
		}
	}
	return set
}

func checkDelete(d *model.ConfigDocument, change model.ConfigChange, kind, name string) *ValidationError {
	if kind == ObjectWeights || countValues(change) != 0 {
		return invalid(CodeMalformed, "weights cannot be deleted, and a deletion must not set a value")
	}
	if _, exists := d.ObjectVersions[change.Object]; !exists {
		return invalid(CodeUnknownObject, "object %q does not exist", change.Object)
	}
	if kind != ObjectAccount {
		return nil
	}
	for _, guarantee := range d.Guarantees {
		if guarantee.Account == model.ClientAccountID(name) {
			return invalid(CodeAccountInUse, "account %q still has guarantee %q", name, guarantee.Name)
		}
	}
	return nil
}

func checkValue(d *model.ConfigDocument, change model.ConfigChange, kind, name string) *ValidationError {
	switch {
	case kind == ObjectZone && change.Zone != "":
		return checkZone(change.Zone)
	case kind == ObjectAccount && change.Account != nil:
		return checkAccount(*change.Account, name)
	case kind == ObjectGuarantee && change.Guarantee != nil:
		return checkGuarantee(d, *change.Guarantee, name)
	case kind == ObjectWeights && change.Weights != nil:
		return checkWeights(*change.Weights)
	default:
		return invalid(CodeMalformed, "the value has the wrong type for object %q", change.Object)
	}
}

func checkZone(state model.ZoneState) *ValidationError {
	if state != model.ZoneIn && state != model.ZoneOut {
		return invalid(CodeOutOfRange, "zone state %q is neither in nor out", state)
	}
	return nil
}

func checkAccount(account model.ClientAccount, name string) *ValidationError {
	if string(account.ID) != name {
		return invalid(CodeMalformed, "account ID %q differs from the ID in the object key", account.ID)
	}
	if account.Weight < minAccountWeight || account.Weight > maxAccountWeight {
		return invalid(CodeOutOfRange, "weight %d is not between %d and %d", account.Weight, minAccountWeight, maxAccountWeight)
	}
	if account.MaxQueued < 0 {
		return invalid(CodeOutOfRange, "max_queued %d is negative", account.MaxQueued)
	}
	return nil
}

func checkGuarantee(d *model.ConfigDocument, guarantee model.GuaranteedShape, name string) *ValidationError {
	if guarantee.Name != name {
		return invalid(CodeMalformed, "guarantee name %q differs from the name in the object key", guarantee.Name)
	}
	if _, known := d.Accounts[guarantee.Account]; !known {
		return invalid(CodeUnknownAccount, "account %q does not exist", guarantee.Account)
	}
	shape := guarantee.Shape
	if shape.Tasks > model.MaxGangSize {
		return invalid(CodeGangTooLarge, "%d tasks exceed the maximum of %d", shape.Tasks, model.MaxGangSize)
	}
	if shape.Tasks < 1 || guarantee.Count < 1 {
		return invalid(CodeOutOfRange, "tasks %d and count %d must be at least 1", shape.Tasks, guarantee.Count)
	}
	need := shape.PerTask
	if need.Accelerators < 0 || need.Cores < 0 || need.MemoryMB < 0 || need == (model.Resources{}) {
		return invalid(CodeOutOfRange, "the resources of a task must not be negative or all zero")
	}
	switch shape.Topology {
	case model.TopologyAny, model.TopologyZone, model.TopologyRack:
		return nil
	default:
		return invalid(CodeOutOfRange, "topology %q is not one of any, zone, rack", shape.Topology)
	}
}

func checkWeights(w model.PolicyWeights) *ValidationError {
	for _, value := range []float64{w.CompletionTime, w.Fragmentation, w.WorkInZoneChange} {
		if !(value >= 0 && value <= 1) {
			return invalid(CodeOutOfRange, "weight %v is not between 0 and 1", value)
		}
	}
	return nil
}

// splitObject splits an object key into its kind prefix and name. It returns
// empty strings for a key of unknown kind.
func splitObject(object string) (kind, name string) {
	if object == ObjectWeights {
		return ObjectWeights, ""
	}
	for _, prefix := range []string{ObjectZone, ObjectAccount, ObjectGuarantee} {
		if rest, found := strings.CutPrefix(object, prefix); found {
			return prefix, rest
		}
	}
	return "", ""
}
