package kv

// A store that is restored from an older copy counts its revisions up again from
// that copy, so that one number stands for two states. Such a store numbers its
// eras, one more with each restore. Revisions from such a store hold the era in
// their upper bits: they never decrease, and a revision of an earlier era never
// equals one of a later era. The revisions of a store without eras are in era zero
// and unchanged.
const (
	// eraShift is the number of bits for the store's own revision.
	eraShift = 40
	// MaxEra is the highest era that a revision can hold.
	MaxEra = 1<<(63-eraShift) - 1
	// MaxRawRevision is the highest revision of a store within an era.
	MaxRawRevision = 1<<eraShift - 1
)

// JoinRevision returns a store's own revision as a revision in an era. Zero, which
// stands for no revision, stays zero. The arguments must be within MaxEra and
// MaxRawRevision.
func JoinRevision(era, raw int64) int64 {
	if raw == 0 {
		return 0
	}
	return era<<eraShift | raw
}

// ValidRevision reports whether a store can have had a revision in an era: both are within
// what JoinRevision joins.
func ValidRevision(era, raw int64) bool {
	return era >= 0 && era <= MaxEra && raw >= 0 && raw <= MaxRawRevision
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> eraShift }

// RawRevision returns a revision as the store itself numbers it.
func RawRevision(revision int64) int64 { return revision & MaxRawRevision }
