package ledger

import (
	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// RequestID identifies one request at one daemon.
type RequestID uint64

// Result is the answer of a service to an action.
type Result struct {
	Status  int
	Headers []*peerpb.Header
	Body    []byte
	// Recorded is set when the answer comes from the journal: the action ran
	// for an earlier request.
	Recorded bool
	// BodyOmitted is set on a recorded answer whose headers and body were too
	// large to keep.
	BodyOmitted bool
}

// Event is an input of the ledger.
type Event interface{ event() }

// Arrived is a request to run an action.
type Arrived struct {
	Request RequestID
	Key     uuid.UUID
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// First is set when the caller vouches that it never sent the key before:
	// a refusal of this request is then one of the action.
	First bool
}

// Canceled says that the caller of a request has gone. A Reply follows unless
// one was given already.
type Canceled struct{ Request RequestID }

// Loaded is the journal as read for a take-over.
type Loaded struct {
	// Nonce is random and names the new holder.
	Nonce uint64
	// Head is the head's revision, zero when there is no journal yet.
	Head int64
	// Segments are in the order of their numbers.
	Segments []NumberedSegment
}

// NumberedSegment is a segment with its place in the journal.
type NumberedSegment struct {
	Number  uint64
	Segment Segment
}

// LoadFailed says that the journal can't be read.
type LoadFailed struct {
	RateLimited bool
	// Reason is what requests are told; nil means an outage.
	Reason *refusal.Refusal
}

// Committed says that an append was applied, at a revision of the head.
type Committed struct {
	Number   uint64
	Revision int64
}

// HeadMoved says that the head has moved since the ledger last saw it.
type HeadMoved struct{ Number uint64 }

// NotApplied says that this attempt at an append was certainly not applied.
type NotApplied struct {
	Number      uint64
	RateLimited bool
}

// ResultUnknown says that an append may have been applied.
type ResultUnknown struct{ Number uint64 }

// ReadBackDone is the segment found under a number.
type ReadBackDone struct {
	Number uint64
	Found  bool
	// Nonce is the holder that wrote it.
	Nonce    uint64
	Revision int64
}

// ReadBackFailed says that the segment can't be read.
type ReadBackFailed struct{ Number uint64 }

// HeadChecked is the head's revision, zero when there is no head.
type HeadChecked struct{ Revision int64 }

// HeadCheckFailed says that the head can't be read.
type HeadCheckFailed struct{ RateLimited bool }

// FinishKind says how a dispatch ended.
type FinishKind int

// Ends of a dispatch.
const (
	// FinishAnswered: the service gave its whole answer.
	FinishAnswered FinishKind = iota
	// FinishNotDispatched: no byte was sent.
	FinishNotDispatched
	// FinishUnconfirmed: the action may have run.
	FinishUnconfirmed
)

// Finished is the end of a dispatch.
type Finished struct {
	Key    uuid.UUID
	Kind   FinishKind
	Result Result
	// Refusal is what callers are told when there is no answer.
	Refusal *refusal.Refusal
}

// Drain ends the acceptance of new claims.
type Drain struct{}

// Tick says that only time has passed.
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

// Load asks for the whole journal: Loaded or LoadFailed follows.
type Load struct{}

// Append asks for one transaction that writes a segment and moves the head, if
// the head is still at revision After and the number is free. Committed,
// LostRace, NotApplied or ResultUnknown follows.
type Append struct {
	Number       uint64
	ExpectedHead int64
	Segment      Segment
	// Remove are the numbers of older segments to delete in the transaction.
	Remove []uint64
}

// ReadBack asks for the segment under a number: ReadBackDone or
// ReadBackFailed follows.
type ReadBack struct{ Number uint64 }

// CheckHead asks for the head's revision: HeadChecked or HeadCheckFailed
// follows.
type CheckHead struct{}

// Dispatch asks to run the action once, as given by a request. Finished
// follows.
type Dispatch struct {
	Key     uuid.UUID
	Request RequestID
}

// Reply ends a request. Exactly one is given for each; Refusal is nil when
// there is a result.
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
