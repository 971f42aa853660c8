package configstore

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of commits and reads. Callers test for them with errors.Is.
var (
	// ErrConflict means that the declarations moved on from the base revision;
	// nothing was committed. The error in the chain is a *ConflictError.
	ErrConflict = errors.New("declarations moved on from the base revision")
	// ErrOutcomeUnknown means that the commit may have been made.
	ErrOutcomeUnknown = errors.New("the commit may have been made: compare with `vtctl diff`, then apply again if it wasn't")
	// ErrTooLarge means that one value would not fit into the service.
	ErrTooLarge = errors.New("too many declarations for one value of the key-value service: remove labels or objects")
	// ErrChangedDuringRead means that the declarations kept changing while they were read.
	ErrChangedDuringRead = errors.New("declarations kept changing while they were read: try again")
	// ErrNotKept means that the changes after a revision are no longer kept.
	ErrNotKept = errors.New("changes after that revision are no longer kept: compare with the whole declarations")
)

// ConflictError says which commit came first.
type ConflictError struct {
	// Base is the revision that the refused changes were made for.
	Base uint64
	// Current is the newest commit.
	Current Manifest
}

// Error names the other commit and the command that shows the difference.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("declarations moved on from revision %d to %d, committed by %s: run `vtctl diff --from %d`, take its changes over, then apply with --base %d",
		e.Base, e.Current.Revision, e.Current.Author, e.Base, e.Current.Revision)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
