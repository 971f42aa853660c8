// Package edge assembles a router for a platform that keeps the configuration
// and lists the instances: it follows the platform's records, exchanges state
// with other routers, and serves callers. Adapters translate the platform's
// formats; see Provider and Codec.
package edge

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/dispatch"
	"github.com/verbenatrail/verbenatrail/internal/ingress"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/locality"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// Snapshot is what the platform's records say, in the product's types.
type Snapshot struct {
	// Table is nil while there is no readable configuration.
	Table     *routing.Table
	Instances []instances.Instance
	// Routers are the peer addresses of other routers.
	Routers []string
	// Problems are records that could not be read, each with its key.
	Problems []string
}

// Provider translates the platform's records.
type Provider interface {
	// Translate returns what the records say. It is called by one goroutine.
	Translate(entries []kv.Entry, now time.Time) Snapshot
	// Same reports whether two values of a record mean the same to a router. It
	// is called by the goroutine that calls Translate.
	Same(a, b kv.Entry) bool
	// RoutersPrefix returns the beginning of the keys of all routers' records,
	// whose values are peer addresses.
	RoutersPrefix() string
	// Registration returns the record by which this router is found.
	Registration(peerAddress string) (key string, value []byte)
}

// Codec translates what callers and instances send and get.
type Codec interface {
	ingress.Codec
	dispatch.Codec
}

// Settings are what a router needs to know about itself and its promises.
type Settings struct {
	Name  string
	Place locality.Place
	// CallerAddress, PeerAddress and ReadyAddress are IP numbers and ports;
	// DirectoryAddress is where callers ask which router to use.
	CallerAddress    string
	PeerAddress      string
	ReadyAddress     string
	DirectoryAddress string
	MetricsAddress   string
	// Seeds are peer addresses at which other routers may be found.
	Seeds []string
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// GracePeriod is the time from the request to stop until the process is
	// killed.
	GracePeriod time.Duration
	// AddressLifetime is how long callers may keep the answer of the directory.
	AddressLifetime time.Duration
	// RetryBudget bound the repeats of the whole fleet to one service.
	RetryBudget retry.WindowSettings
}
