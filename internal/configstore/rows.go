package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// Keys of rows in the table service and of objects in the object store.
const (
	// HeadPrefix is the key prefix of all head rows, which are read in one call.
	HeadPrefix = "config/head/"
	// HeadKey is the key of the configuration's head row.
	HeadKey = HeadPrefix + "document"

	assignmentHeadPrefix = HeadPrefix + "assignment/"
	assignmentPrefix     = "config/assignment/"
	changePrefix         = "config/change/"
	idPrefix             = "config/id/"
	snapshotPrefix       = "config/snapshot/"
)

// ErrMalformed means that a row or object cannot be decoded or is inconsistent
// with its key.
var ErrMalformed = errors.New("malformed configuration row")

// Head is the value of the configuration's head row.
type Head struct {
	Version model.ConfigVersion `json:"version"`
	// Snapshot is the version of the latest snapshot, zero for none.
	Snapshot model.ConfigVersion `json:"snapshot"`
	// Change is the ID of the change that made the version.
	Change model.ChangeID `json:"change"`
}

// AssignmentHead is the value of the head row of a region's home assignment.
type AssignmentHead struct {
	Version uint64 `json:"version"`
}

// changeIDRow is the value of the row keyed by a change ID.
type changeIDRow struct {
	Version model.ConfigVersion `json:"version"`
	// Digest distinguishes the change from a different one with the same ID.
	Digest string `json:"digest"`
}

// digestOf returns the hex SHA-256 digest of a change without its time and version.
func digestOf(change model.ConfigChange) string {
	change.Time, change.Version = time.Time{}, 0
	sum := sha256.Sum256(encode(change))
	return hex.EncodeToString(sum[:])
}

// ChangeKey returns the key of the row of the change that made a version. Keys
// sort in the order of versions.
func ChangeKey(version model.ConfigVersion) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}

// SnapshotKey returns the key of the snapshot of a version in the object store.
func SnapshotKey(version model.ConfigVersion) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, version)
}

// AssignmentHeadKey returns the key of the head row of a region's home assignment.
func AssignmentHeadKey(region model.RegionName) string { return assignmentHeadPrefix + string(region) }

// AssignmentKey returns the key of the row that holds a home assignment.
func AssignmentKey(region model.RegionName, version uint64) string {
	return fmt.Sprintf("%s%s/%020d", assignmentPrefix, region, version)
}

func idKey(id model.ChangeID) string { return idPrefix + string(id) }

// DecodeHead decodes a head row. A row that does not exist decodes to version
// zero. Errors wrap ErrMalformed.
func DecodeHead(row storeapi.Row) (Head, error) {
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	if err := decode(row.Value, &head); err != nil {
		return Head{}, err
	}
	if head.Version == 0 || head.Snapshot > head.Version {
		return Head{}, errors.Wrapf(ErrMalformed, "head version %d, snapshot %d", head.Version, head.Snapshot)
	}
	return head, nil
}

// DecodeChange decodes a change row and checks its version against the row key.
func DecodeChange(row storeapi.Row) (model.ConfigChange, error) {
	var change model.ConfigChange
	if err := decode(row.Value, &change); err != nil {
		return model.ConfigChange{}, err
	}
	if row.Key != ChangeKey(change.Version) {
		return model.ConfigChange{}, errors.Wrapf(ErrMalformed, "row %q contains version %d", row.Key, change.Version)
	}
	return change, nil
}

// DecodeSnapshot decodes a snapshot and fills in missing maps.
func DecodeSnapshot(value []byte) (*model.ConfigDocument, error) {
	var document model.ConfigDocument
	if err := decode(value, &document); err != nil {
		return nil, err
	}
	if document.Version == 0 {
		return nil, errors.Wrap(ErrMalformed, "snapshot without a version")
	}
	return normalize(&document), nil
}

// DecodeAssignment decodes a home assignment row and checks that its ranges
// start at hash 0 and are in ascending order.
func DecodeAssignment(row storeapi.Row) (wire.Assignment, error) {
	var assignment wire.Assignment
	if err := decode(row.Value, &assignment); err != nil {
		return wire.Assignment{}, err
	}
	for i, r := range assignment.Ranges {
		if (i == 0) != (r.FirstHash == 0) || (i > 0 && r.FirstHash <= assignment.Ranges[i-1].FirstHash) {
			return wire.Assignment{}, errors.Wrapf(ErrMalformed, "range %d starts at %d", i, r.FirstHash)
		}
	}
	if assignment.Version == 0 || len(assignment.Ranges) == 0 {
		return wire.Assignment{}, errors.Wrap(ErrMalformed, "assignment without version or ranges")
	}
	return assignment, nil
}

func decodeAssignmentHead(row storeapi.Row) (AssignmentHead, error) {
	var head AssignmentHead
	if row.Version == 0 {
		return head, nil
	}
	err := decode(row.Value, &head)
	return head, err
}

func decode(value []byte, into any) error {
	if err := json.Unmarshal(value, into); err != nil {
		return errors.CombineErrors(ErrMalformed, err)
	}
	return nil
}

func encode(value any) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode configuration row"))
	}
	return out
}
