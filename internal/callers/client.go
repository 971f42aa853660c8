// Package callers is a client of the fleet. It asks a directory which router
// to use, keeps the answer while it is valid, falls back to the alternates,
// honours Retry-After, resumes broken streams and resends actions under the
// same key.
package callers

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Errors of a Client. Callers test for them with errors.Is.
var (
	// ErrNoAddress means that no directory named a router.
	ErrNoAddress = errors.New("no directory answered with a router: check the directories' addresses")
	// ErrConnectionLost means that the router's connection broke or went
	// silent before the answer ended.
	ErrConnectionLost = errors.New("connection to the router lost: resume or resend at another router")
	// ErrNotConnected means that no connection was made, so nothing was sent.
	ErrNotConnected = errors.New("router not reachable: use another router")
	// ErrInvalidResponse means that an answer doesn't follow the interface.
	ErrInvalidResponse = errors.New("answer doesn't follow the callers' interface: compare the versions of both ends")
)

// Headers of the callers' interface.
const (
	HeaderWorkspace = "Verbenatrail-Workspace"
	HeaderChat      = "Verbenatrail-Chat"
	HeaderPriority  = "Verbenatrail-Priority"
	HeaderTimeout   = "Verbenatrail-Timeout-Ms"
	HeaderOutcome   = "Verbenatrail-Outcome"
	HeaderActionKey = "Idempotency-Key"
	HeaderLastEvent = "Last-Event-ID"
	HeaderUpstream  = "Verbenatrail-Upstream"
	HeaderMoveTo    = "Verbenatrail-Move-To"
)

// Settings of a Client.
type Settings struct {
	// Directories are the IP numbers and ports of the directories.
	Directories []string
	// LookupTimeout bounds one question to a directory.
	LookupTimeout time.Duration
	// ConnectTimeout bounds one attempt to connect to a router.
	ConnectTimeout time.Duration
	// ResponseTimeout is the longest wait for the head of an answer; a router
	// sends nothing while a call waits for an engine.
	ResponseTimeout time.Duration
	// SilenceTimeout is the longest wait for the next byte of an answer.
	SilenceTimeout time.Duration
	// RequestDelay is added before each request, as the way to the fleet.
	RequestDelay time.Duration
	// Seed seeds the order of directories.
	Seed uint64
}

// Defaults of Settings.
const (
	DefaultLookupTimeout   = time.Second
	DefaultConnectTimeout  = time.Second
	DefaultResponseTimeout = 10 * time.Second
	DefaultSilenceTimeout  = 5 * time.Second
)

// Pauses between the attempts of one call.
const (
	backoffFirst = 20 * time.Millisecond
	backoffMax   = 500 * time.Millisecond
)

const (
	idleConnections = 64
	idleTimeout     = 5 * time.Second
)

// Client is a caller of the fleet. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client

	mu        sync.Mutex
	rng       *rand.Rand
	addresses map[addressKey]keptAddress
}

// New returns a client. Zero timeouts take the defaults.
func New(s Settings) *Client {
	s.LookupTimeout = orDefault(s.LookupTimeout, DefaultLookupTimeout)
	s.ConnectTimeout = orDefault(s.ConnectTimeout, DefaultConnectTimeout)
	s.ResponseTimeout = orDefault(s.ResponseTimeout, DefaultResponseTimeout)
	s.SilenceTimeout = orDefault(s.SilenceTimeout, DefaultSilenceTimeout)
	dialer := &net.Dialer{Timeout: s.ConnectTimeout}
	return &Client{
		settings: s,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		}},
		rng:       rand.New(rand.NewPCG(s.Seed, s.Seed)),
		addresses: make(map[addressKey]keptAddress),
	}
}

// Close ends the connections that are idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffFirst
	b.MaxInterval = backoffMax
	return b
}
