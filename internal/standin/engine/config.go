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

// Config sets up a Server.
type Config struct {
	// Models are loaded at the start; an engine without models serves all.
	Models []string
	// Role is the engine's role until an order changes it.
	Role string
	// Slots is the number of streams that run at a time.
	Slots int
	// TokenTime is the time of one step, which generates one token for each
	// running stream.
	TokenTime time.Duration
	// PrefillPerToken is the time of one prompt token that isn't cached.
	// Prefills run one after another.
	PrefillPerToken time.Duration
	// TransferPerToken is the time to export or import one cached token.
	TransferPerToken time.Duration
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// StreamKeep is how long a finished stream can be read.
	StreamKeep time.Duration
	// OrphanAfter is how long a stream without a reader is generated.
	OrphanAfter time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// CacheEventDelay is the age of the newest cache event that is shown.
	CacheEventDelay time.Duration
	// CacheEventGap leaves out one of so many cache events; 0 leaves out none.
	CacheEventGap int64
	// LeaveGrace is how long new work is taken after PathLeave.
	LeaveGrace time.Duration
	// Fencing makes the engine refuse orders with an old fence.
	Fencing bool
	// LoadTime is the time to load a model, after its weights were read.
	LoadTime time.Duration
	// WeightStore is the base address of the weight store; empty means that
	// weights are at hand.
	WeightStore string
	// Crash ends the process. When nil, a crash makes the server cut all its
	// connections from then on.
	Crash func()
	// Clock is the machine's when nil.
	Clock standin.Clock
}

// DefaultConfig returns an engine that serves all models.
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
