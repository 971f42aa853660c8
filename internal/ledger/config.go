package ledger

import "time"

// maxPauseDoublings bounds the shift that computes the pause after failures.
const maxPauseDoublings = 16

// Config are the limits of one slot's ledger.
type Config struct {
	// Holder names this daemon in the journal.
	Holder string
	// Retention is the age of an action key up to which it may be claimed.
	Retention time.Duration
	// ClockAllowance is how far a key's issue time may lie in the future.
	ClockAllowance time.Duration
	// CommitInterval is the mean time between two appends under load.
	CommitInterval time.Duration
	// AppendBurst is the number of appends that may follow each other at once
	// after a pause, at least 1.
	AppendBurst int
	// OutcomeDelay is the longest time that an outcome waits to share a
	// segment with claims.
	OutcomeDelay time.Duration
	// ClaimWait is the longest time that a request waits for its claim.
	ClaimWait time.Duration
	// RetryPause is the pause after the first failed call; it doubles up to
	// MaxRetryPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
	// TrustTime is how long after the head was last seen in place an action that
	// is missing in the journal counts as not run. It should be shorter than
	// the time after which another daemon takes the slot over.
	TrustTime time.Duration
	// CheckInterval is how often the head of an idle slot is read.
	CheckInterval time.Duration
	// HoldOff is the pause after another holder took the slot over.
	HoldOff time.Duration
	// CompactAfter is the number of segments that are compacted into one.
	CompactAfter int
	// SegmentBytes bounds the new records of one segment; a compacted segment
	// stays below three times as much.
	SegmentBytes int
	// MaxActions bounds the actions that are remembered.
	MaxActions int
	// BodyBytes is the longest answer body that is recorded.
	BodyBytes int
	// ResultBytes bounds the recorded answers kept in memory.
	ResultBytes int
}
