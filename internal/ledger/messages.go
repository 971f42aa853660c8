package ledger

import (
	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// RequestID identifies a request within one daemon.
type RequestID uint64

// Result is a service's answer to an action.
type Result struct {
	Status  int
	Headers []*peerpb.Header
	Body    []byte
	// Recorded is set when the answer was recorded for an earlier request with
	// the same key, which ran the action.
	Recorded bool
	// BodyOmitted is set on a recorded answer whose headers and body were too
	// large to keep, or were dropped to save memory.
	BodyOmitted bool
}

// Event is an input of the ledger.
type Event interface{ event() }

// Arrived reports a new request to run an action.
type Arrived struct {
	Request RequestID
	Key     uuid.UUID
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// FirstAttempt is set when the caller guarantees that it never sent the key
	// before. If this request is not run, then the action was not run either.
	FirstAttempt bool
}

// Canceled reports that the caller of a request has disconnected or given up. A
// Reply follows unless one was returned already.
type Canceled struct{ Request RequestID }

// Loaded is the whole journal, read to take the slot over.
type Loaded struct {
	// Nonce is a random number that identifies the takeover.
	Nonce uint64
	// Head is the head's revision, or zero if there is no journal yet.
	Head int64
	// Segments are sorted by number.
	Segments []NumberedSegment
}

// NumberedSegment is a segment and its number in the journal.
type NumberedSegment struct {
	Number  uint64
	Segment Segment
}

// LoadFailed reports that the journal could not be read.
type LoadFailed struct {
	RateLimited bool
	// Reason is the refusal for the waiting requests. It is nil when the call to
	// the service failed, so that a retry may succeed.
	Reason *refusal.Refusal
}

// Committed reports that an append was applied. Revision is the head's new
// revision.
type Committed struct {
	Number   uint64
	Revision int64
}

// HeadMoved reports that an append's precondition failed: the head is no longer
// at the expected revision.
type HeadMoved struct{ Number uint64 }

// NotApplied reports that this attempt at an append was certainly not applied.
type NotApplied struct {
	Number      uint64
	RateLimited bool
}

// ResultUnknown reports that an append may or may not have been applied.
type ResultUnknown struct{ Number uint64 }

// ReadBackDone reports whether a segment exists, and who wrote it.
type ReadBackDone struct {
	Number uint64
	Found  bool
	// Nonce identifies the takeover whose holder wrote the segment.
	Nonce    uint64
	Revision int64
}

// ReadBackFailed reports that the segment could not be read.
type ReadBackFailed struct{ Number uint64 }

// HeadChecked reports the head's revision, or zero if there is no head.
type HeadChecked struct{ Revision int64 }

// HeadCheckFailed reports that the head could not be read.
type HeadCheckFailed struct{ RateLimited bool }

// FinishKind classifies how a dispatch ended.
type FinishKind int

// Kinds of the end of a dispatch.
const (
	// FinishAnswered: the service returned a complete answer.
	FinishAnswered FinishKind = iota
	// FinishNotDispatched: no byte of the request was sent.
	FinishNotDispatched
	// FinishUnconfirmed: the action may or may not have run.
	FinishUnconfirmed
)

// Finished reports the end of a dispatch.
type Finished struct {
	Key    uuid.UUID
	Kind   FinishKind
	Result Result
	// Refusal is returned to the callers if there is no answer.
	Refusal *refusal.Refusal
}

// Drain makes the ledger refuse new claims from now on.
type Drain struct{}

// Tick reports that only time has passed.
type Tick struct{}

func (Arrived) event()         {}
func (Canceled) event()        {}
func (Loaded) event()          {}
func (LoadFailed) event()      {}
func (Committed) event()       {}
func (HeadMoved) event()       {}
func (NotApplied) event()      {}
func (ResultUnknown) event()   {}
func (ReadBackDone) event()    {}
func (ReadBackFailed) event()  {}
func (HeadChecked) event()     {}
func (HeadCheckFailed) event() {}
func (Finished) event()        {}
func (Drain) event()           {}
func (Tick) event()            {}

// Effect is an output of the ledger.
type Effect interface{ effect() }

// Load requests a read of the whole journal. Loaded or LoadFailed follows.
type Load struct{}

// Append requests one transaction that writes a segment and updates the head,
// conditional on the head being at revision ExpectedHead and on the segment not
// existing yet. Committed, HeadMoved, NotApplied or ResultUnknown follows.
type Append struct {
	Number       uint64
	ExpectedHead int64
	Segment      Segment
	// Remove holds the numbers of obsolete segments to delete in the same
	// transaction.
	Remove []uint64
}

// ReadBack requests a read of one segment. ReadBackDone or ReadBackFailed
// follows.
type ReadBack struct{ Number uint64 }

// CheckHead requests a read of the head's revision. HeadChecked or
// HeadCheckFailed follows.
type CheckHead struct{}

// Dispatch requests that the action run once, with the content of the given
// request. Finished follows.
type Dispatch struct {
	Key     uuid.UUID
	Request RequestID
}

// Reply ends a request. Each request gets exactly one; Refusal is nil if there
// is a result.
type Reply struct {
	Request RequestID
	Result  Result
	Refusal *refusal.Refusal
}

func (Load) effect()      {}
func (Append) effect()    {}
func (ReadBack) effect()  {}
func (CheckHead) effect() {}
func (Dispatch) effect()  {}
func (Reply) effect()     {}
