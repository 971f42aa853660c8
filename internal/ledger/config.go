package ledger

import "time"

// maxPauseDoublings bounds the shift in the exponential backoff, so that it
// can't overflow.
const maxPauseDoublings = 16

// Config holds the limits of one slot's ledger.
type Config struct {
	// Holder names this daemon in the journal.
	Holder string
	// Retention is the maximum age at which an action key may be claimed.
	Retention time.Duration
	// ClockAllowance is the maximum time by which a key's issue time may lie in
	// the future.
	ClockAllowance time.Duration
	// CommitInterval is the mean time between appends under load.
	CommitInterval time.Duration
	// AppendBurst is the number of appends that may be sent back to back after
	// an idle period, at least 1.
	AppendBurst int
	// OutcomeDelay is the maximum time that an outcome waits to share a segment
	// with claims.
	OutcomeDelay time.Duration
	// ClaimWait is the maximum time that a request waits for its claim to be
	// committed.
	ClaimWait time.Duration
	// RetryPause is the backoff after the first failed call; it doubles with
	// each further failure, up to MaxRetryPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
	// TrustTime is how long after the head was last confirmed an action that is
	// missing from the journal counts as not run. It should be shorter than the
	// time after which another daemon takes the slot over.
	TrustTime time.Duration
	// CheckInterval is the time between reads of an idle slot's head.
	CheckInterval time.Duration
	// HoldOff is the pause before the journal is loaded again after another
	// holder took the slot over.
	HoldOff time.Duration
	// CompactAfter is the number of segments after which they are compacted into
	// one.
	CompactAfter int
	// SegmentBytes is the maximum size of the new records in one segment; a
	// compacted segment stays below three times this size.
	SegmentBytes int
	// MaxActions is the maximum number of actions held in memory.
	MaxActions int
	// BodyBytes is the maximum size of a recorded answer, headers included.
	BodyBytes int
	// ResultBytes is the maximum size of all recorded answers in memory.
	ResultBytes int
}
