package entry

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
)

// errStoredRow means that a row of the table service is not what was written.
var errStoredRow = errors.New("entry: unexpected row")

// decodeJobRow decodes the row of a job under a prefix. It refuses one of
// another job and one that no owner writes.
func decodeJobRow(row storeapi.Row, prefix string) (scheduler.JobRow, error) {
	var decoded scheduler.JobRow
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return decoded, errors.Wrapf(errStoredRow, "%q: %v", row.Key, err)
	}
	if err := checkStoredJob(decoded.Job, row.Key, prefix); err != nil {
		return decoded, err
	}
	if placed := len(decoded.Allocation); placed != 0 && placed != decoded.Job.Shape.Tasks {
		return decoded, errors.Wrapf(errStoredRow, "%q: %d workers for %d tasks", row.Key, placed, decoded.Job.Shape.Tasks)
	}
	return decoded, nil
}

// decodeEndedRow decodes the row of a job that ended, under a prefix.
func decodeEndedRow(row storeapi.Row, prefix string) (scheduler.EndedJob, error) {
	var decoded scheduler.EndedJob
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return decoded, errors.Wrapf(errStoredRow, "%q: %v", row.Key, err)
	}
	if decoded.Phase != scheduler.PhaseFinished && decoded.Phase != scheduler.PhaseCancelled {
		return decoded, errors.Wrapf(errStoredRow, "%q: phase %q", row.Key, decoded.Phase)
	}
	return decoded, checkStoredJob(decoded.Job, row.Key, prefix)
}

func checkStoredJob(job model.Job, key, prefix string) error {
	id, found := strings.CutPrefix(key, prefix)
	if !found || id == "" || id != string(job.ID) {
		return errors.Wrapf(errStoredRow, "%q holds job %q", key, job.ID)
	}
	needs := job.Shape.PerTask
	if job.Shape.Tasks < 1 || job.Shape.Tasks > model.MaxGangSize || needs.Accelerators < 0 || needs.Cores < 0 || needs.MemoryMB < 0 {
		return errors.Wrapf(errStoredRow, "%q has the shape %+v", key, job.Shape)
	}
	return nil
}
