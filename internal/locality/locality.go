// Package locality classifies the network distance between hosts by failure domain
// and region. It does no I/O.
package locality

// Distance is the network distance class of two hosts.
type Distance int

// Distances, the shortest first.
const (
	// SameDomain: in the same failure domain.
	SameDomain Distance = iota
	// SameRegion: in another failure domain of the region.
	SameRegion
	// OtherRegion: a round trip takes tens of milliseconds, and the connection
	// between regions may fail for minutes.
	OtherRegion
)

// Location is the position of a host in the network topology.
type Location struct {
	FailureDomain string
	// Region is empty when it isn't known.
	Region string
}

// DistanceTo returns the distance to another location. An unknown region counts as the
// same region.
func (l Location) DistanceTo(other Location) Distance {
	switch {
	case l.FailureDomain == other.FailureDomain:
		return SameDomain
	case l.Region == "" || other.Region == "" || l.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}
