// Package origins knows at which software version of a service a stream has begun, so that
// it goes on at no other: what two versions write doesn't fit together.
//
// A Tracker knows the streams of this router, and looks up those of others in the records
// that they keep in the platform's store. Versions decides which versions have to be
// recorded there before streams begin at them, so that a stream of which there is no record
// is known to be of the only version that has served. What is read from the store is never
// taken for complete once the store has been restored from an older copy.
package origins

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
)

// Stream identifies a stream over the calls of its caller: a hash of the workspace, the
// service and the call that brought the first event.
type Stream uint64

// StreamOf returns the stream whose first event a call brings.
func StreamOf(workspace, service, callID string) Stream {
	return Stream(call.Fingerprint(nil, workspace, service, callID))
}

// Source is how the version that began a stream is known.
type Source string

// Sources of an origin.
const (
	// Response: the stream has begun in the response of the call itself.
	Response Source = "response"
	// Own: this router has begun the stream, or gone on with it.
	Own Source = "own"
	// Recorded: the record of another router, or of an earlier process of this one.
	Recorded Source = "record"
	// Peer: another router has said so, while it could not write its record.
	Peer Source = "router"
	// OnlyVersion: by the store, no other version has served lately.
	OnlyVersion Source = "only version"
	// OnlyVersionCopied: the same, by the copy of the store's records that most routers
	// have while the store doesn't respond.
	OnlyVersionCopied Source = "only version in the copy"
	// Unrecorded: several versions have served, and none is known to have begun the stream.
	Unrecorded Source = "not recorded"
	// Unconfirmed: the store may have lost versions or records in a restore.
	Unconfirmed Source = "not confirmed since a restore"
	// Unreachable: the store doesn't respond.
	Unreachable Source = "store unreachable"
	// Differing: the stream is recorded at two versions.
	Differing Source = "recorded at two versions"
)

// Origin is what is known of the beginning of a stream.
type Origin struct {
	// Version is the software version that began the stream, empty if it isn't known.
	Version string
	// Source is how the version is known, or why it isn't.
	Source Source
	// At is since when that is known.
	At time.Time
}

const (
	// MinWindow is the shortest time for which a version, and a stream, is kept in the
	// records after the version has left or the stream has begun.
	MinWindow = time.Minute
	// windowTimeouts is that time in timeouts of the routes whose streams may be resumed.
	windowTimeouts = 2
)

// Window returns for how long after its beginning a stream can be taken up, from the longest
// timeout of the routes whose streams may be resumed.
func Window(longestTimeout time.Duration) time.Duration {
	return max(MinWindow, windowTimeouts*longestTimeout)
}
