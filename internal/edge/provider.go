// Package edge assembles a router for a platform that stores the configuration
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
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// Snapshot is the content of the platform's records in the router's own types.
type Snapshot struct {
	// Table is nil while there is no valid configuration.
	Table     *routing.Table
	Instances []instances.Instance
	// Routers are the peer addresses of other routers.
	Routers []string
	// CrashRecords are the records that routers have written with CrashRecordKey.
	CrashRecords []kv.Entry
	// ServedVersions is the routers' record of the versions at which streams may have begun,
	// nil if there is none.
	ServedVersions *kv.Entry
	// Problems describe the records that could not be decoded, each with its key.
	Problems []string
}

// Provider translates the platform's records.
type Provider interface {
	// Translate decodes the records. It is called by one goroutine only.
	Translate(entries []kv.Entry, now time.Time) Snapshot
	// Comparer is called by the goroutine that calls Translate.
	mirror.Comparer
	// RoutersPrefix returns the key prefix of all routers' records, whose values are
	// peer addresses.
	RoutersPrefix() string
	// Registration returns the record by which other routers find this one.
	Registration(peerAddress string) (key string, value []byte)
	// CrashRecordKey returns the key of this router's record of the crashes for which
	// calls are refused.
	CrashRecordKey() string
	// OriginsKey returns the key of the routers' record of the versions at which streams may
	// have begun. It begins the keys of the routers' records of streams, OriginsKey, a slash
	// and a name, which Translate ignores.
	OriginsKey() string
}

// Codec translates requests and responses of callers and instances.
type Codec interface {
	ingress.Codec
	dispatch.Codec
}

// Settings are a router's identity, addresses and limits.
type Settings struct {
	Name     string
	Location locality.Location
	// CallerAddress, PeerAddress and ReadyAddress are IP addresses with ports.
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
	// IsSeed is set if this router is one of the seeds of the others.
	IsSeed bool
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// DrainPeriod is how long an instance that leaves still serves calls.
	DrainPeriod time.Duration
	// AddressLifetime is how long callers may cache a response of the directory.
	AddressLifetime time.Duration
	// StoreWritesPerS is the number of write calls in a second that the store allows all
	// routers together; zero means defaultStoreWritesPerS.
	StoreWritesPerS float64
	// MemoryBytes is the memory that the process may use; zero means defaultMemory.
	MemoryBytes int64
	// RetryBudget bounds the retries that the whole fleet sends to one service.
	RetryBudget retry.WindowSettings
}

// defaultMemory is the memory in bytes that a process may use if the settings don't
// tell.
const defaultMemory = 400 << 20

// memoryTargetPercent is the share of the memory above which garbage is collected more
// often. The rest is left to the kernel's buffers, which count, too.
const memoryTargetPercent = 75

// MemoryTarget returns the size in bytes that the process should stay below.
func (s *Settings) MemoryTarget() int64 { return s.memory() / 100 * memoryTargetPercent }

// memory returns the memory in bytes that the process may use.
func (s *Settings) memory() int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}
	return defaultMemory
}
