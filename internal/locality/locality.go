// Package locality tells how far hosts are from each other. It is pure.
package locality

// Distance tells how far a host is from another one.
type Distance int

// Distances.
const (
	// SameDomain: in the same failure domain.
	SameDomain Distance = iota
	// SameRegion: in another failure domain of the region.
	SameRegion
	// OtherRegion: a round trip takes tens of milliseconds, and regions may lose
	// each other for minutes.
	OtherRegion
)

// Place is where a host is.
type Place struct {
	FailureDomain string
	// Region is empty where it isn't known.
	Region string
}

// DistanceTo returns the distance to another place. One whose region isn't known
// counts as being in the same one.
func (p Place) DistanceTo(other Place) Distance {
	switch {
	case p.FailureDomain == other.FailureDomain:
		return SameDomain
	case p.Region == "" || other.Region == "" || p.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}
