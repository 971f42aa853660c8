package configstore

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of commits and reads. Callers test for them with errors.Is.
var (
	// ErrConflict means that the declarations have changed since the base revision;
	// nothing was committed. The error that wraps it is a *ConflictError.
	ErrConflict = errors.New("declarations have changed since the base revision")
	// ErrOutcomeUnknown means that the commit may or may not have been applied.
	ErrOutcomeUnknown = errors.New("the commit may have been made: compare with `vtctl diff`, then apply again if it wasn't")
	// ErrTooLarge means that a value would exceed the size limit of the key-value
	// service.
	ErrTooLarge = errors.New("too many declarations for one value of the key-value service: remove labels or objects")
	// ErrChangedDuringRead means that commits during each attempt prevented a
	// consistent read of all declarations.
	ErrChangedDuringRead = errors.New("declarations kept changing while they were read: try again")
	// ErrNotRetained means that the changes after a revision are no longer retained, or
	// too many to read one by one.
	ErrNotRetained = errors.New("changes after that revision are no longer retained: compare all declarations with `vtctl diff PATH`")
)

// ConflictError is returned when another commit was made since the base revision.
type ConflictError struct {
	// Base is the revision that the rejected changes are based on.
	Base uint64
	// Current is the newest commit.
	Current Manifest
}

// Error names the newest commit and the commands that show its changes and apply
// the rejected ones on top of it.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("declarations moved on from revision %d to %d, committed by %s: run `vtctl diff --from %d`, take its changes over, then apply with --base %d",
		e.Base, e.Current.Revision, e.Current.Author, e.Base, e.Current.Revision)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
