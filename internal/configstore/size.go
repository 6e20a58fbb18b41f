package configstore

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// MaxDocumentBytes bounds the encoded configuration. A process that joins gets
// it in one frame, together with the home assignment.
const MaxDocumentBytes = wire.MaxBodyBytes / 2

// checkSize refuses a change after which the configuration would not fit into
// the frame that carries it. A deletion is always possible.
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
		"The configuration would be larger than %d bytes; delete client accounts or guarantees that are not needed any more.", MaxDocumentBytes)
}
