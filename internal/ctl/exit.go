package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Exit codes of dragonflyctl.
const (
	// ExitDone means that the command did what it says.
	ExitDone = 0
	// ExitRefused means that the input was refused; nothing changed.
	ExitRefused = 1
	// ExitUsage means that the command line or a file given to it is not valid.
	ExitUsage = 2
	// ExitConflict means that another operator's change came first.
	ExitConflict = 3
	// ExitNotAccepted means that nothing changed and that it may be tried again.
	ExitNotAccepted = 4
	// ExitInDoubt means that the call may or may not have taken effect.
	ExitInDoubt = 5
	// ExitCheckFailed means that a check was made and did not hold.
	ExitCheckFailed = 6
)

// exitError is a failure with its exit code.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

func fail(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// exitCode returns the exit code of a command's error. Errors without a code
// come from the command line itself or from files.
func exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitUsage
}
