package engine

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Defaults of Config.
const (
	DefaultSlots            = 16
	DefaultTokenTime        = 10 * time.Millisecond
	DefaultPrefillPerToken  = 50 * time.Microsecond
	DefaultTransferPerToken = 2 * time.Microsecond
	DefaultCacheTokens      = 200_000
	DefaultStreamKeep       = 30 * time.Second
	DefaultOrphanAfter      = 5 * time.Second
	DefaultLoadLag          = 2 * time.Second
	DefaultCacheEventDelay  = time.Second
	DefaultCacheEventGap    = 50
	DefaultLeaveGrace       = 5 * time.Second
)

// Config configures a Server.
type Config struct {
	// Models are loaded at the start; when empty, the engine serves any model.
	Models []string
	// Role is the initial role; an order can change it.
	Role string
	// Slots is the maximum number of streams that run concurrently.
	Slots int
	// TokenTime is the duration of one step, which generates one token for each
	// running stream.
	TokenTime time.Duration
	// PrefillPerToken is the prefill time of one prompt token that isn't
	// cached. Prefills run one after another.
	PrefillPerToken time.Duration
	// TransferPerToken is the time to export or import one cached token.
	TransferPerToken time.Duration
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// StreamKeep is how long a finished stream can still be resumed.
	StreamKeep time.Duration
	// OrphanAfter is how long a stream runs without a reader before it is
	// cancelled.
	OrphanAfter time.Duration
	// LoadLag is how far the load report lags behind the actual load.
	LoadLag time.Duration
	// CacheEventDelay is the delay before a cache event becomes visible.
	CacheEventDelay time.Duration
	// CacheEventGap drops every CacheEventGap-th cache event; 0 drops none.
	CacheEventGap int64
	// LeaveGrace is how long new requests are accepted after Leave.
	LeaveGrace time.Duration
	// Fencing makes the engine refuse orders whose fence is below the highest
	// one that it has accepted.
	Fencing bool
	// LoadTime is the time to load a model after its weights have been read.
	LoadTime time.Duration
	// WeightStore is the base URL of the weight store; when empty, loading
	// reads no weights.
	WeightStore string
	// Crash terminates the process. When nil, the server cuts all connections
	// after a crash.
	Crash func()
	// Clock defaults to the system clock.
	Clock standin.Clock
}

// DefaultConfig returns the configuration of an engine that serves any model.
func DefaultConfig() Config {
	return Config{
		Slots:            DefaultSlots,
		TokenTime:        DefaultTokenTime,
		PrefillPerToken:  DefaultPrefillPerToken,
		TransferPerToken: DefaultTransferPerToken,
		CacheTokens:      DefaultCacheTokens,
		StreamKeep:       DefaultStreamKeep,
		OrphanAfter:      DefaultOrphanAfter,
		LoadLag:          DefaultLoadLag,
		CacheEventDelay:  DefaultCacheEventDelay,
		CacheEventGap:    DefaultCacheEventGap,
		LeaveGrace:       DefaultLeaveGrace,
		Fencing:          true,
	}
}
