package configstore

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// MaxDocumentBytes limits the encoded configuration. A joining process receives
// it in one frame, together with the home assignment.
const MaxDocumentBytes = wire.MaxBodyBytes / 2

// checkSize rejects a change after which the configuration would exceed
// MaxDocumentBytes. Deletions are always allowed.
func checkSize(next *model.ConfigDocument, change model.ConfigChange) *ValidationError {
	if change.Delete {
		return nil
	}
	frame, err := wire.Encode(&wire.ConfigUpdate{Document: next})
	if err == nil && len(frame) <= MaxDocumentBytes {
		return nil
	}
	if err != nil && !errors.Is(err, wire.ErrFrameSize) {
		return invalid(CodeMalformed, "%v", err)
	}
	return invalid(CodeDocumentTooLarge,
		"The configuration would exceed %d bytes; delete client accounts or guarantees that are no longer needed.", MaxDocumentBytes)
}
