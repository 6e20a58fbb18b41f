package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// CancellationRetention is how long a cancellation is kept after it was requested, unless
// its job is kept longer. While it is stored, no submission of the job takes effect, so
// it must outlast each submission that was sent before: callers wait for a minute at
// most, and the store may carry a write out seconds after it was sent.
const CancellationRetention = 4 * time.Minute

// Cancellation is the row that cancels a job of one account, whether or not the job is
// stored. A job with the same ID of another account is not affected.
type Cancellation struct {
	Account model.ClientAccountID `codec:"a"`
	// RequestedMS is the time on the store's clock at which the cancellation was
	// requested, or at which the job that it replaces was deleted.
	RequestedMS int64 `codec:"t"`
}

// CancelKeys returns the possible keys of the row that cancels a job of an account, in
// the order in which to try them. Each is in the same part as the key of JobKeys with
// the same index, so that a submission can check it.
func CancelKeys(id model.JobID, account model.ClientAccountID) []string {
	return inboxKeys(prefixCancel, id, "/"+accountDigest(account))
}

// CancelKeyBeside returns the key of CancelKeys in the part of a job's row.
func CancelKeyBeside(jobKey string, id model.JobID, account model.ClientAccountID) string {
	_, part, _ := storeapi.SplitKey(jobKey)
	return storeapi.JoinKey(TableInbox, part, prefixCancel+string(id)+"/"+accountDigest(account))
}

// accountDigest stands for an account in a key, whose length the store limits.
func accountDigest(account model.ClientAccountID) string {
	sum := sha256.Sum256([]byte(account))
	return hex.EncodeToString(sum[:16])
}

// Check returns ErrRowKey if the cancellation of a job does not belong to a key.
func (c *Cancellation) Check(key string, id model.JobID) error {
	if key != CancelKeyBeside(key, id, c.Account) {
		return errors.Wrapf(ErrRowKey, "%q for a cancellation by the account %q", key, c.Account)
	}
	return nil
}
