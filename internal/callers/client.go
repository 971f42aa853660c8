// Package callers is a client library for the fleet. It looks up the router to
// use in a directory, caches the address while it is valid, falls back to the
// alternates, honours Retry-After, resumes interrupted streams and resends actions
// with the same idempotency key.
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
	// ErrNoAddress means that no directory returned the address of a router.
	ErrNoAddress = errors.New("no directory returned a router address: check the directories' addresses")
	// ErrConnectionLost means that the connection to the router failed or timed
	// out before the response was complete.
	ErrConnectionLost = errors.New("connection to the router lost: resume or resend at another router")
	// ErrNotConnected means that no connection was established, so nothing was
	// sent.
	ErrNotConnected = errors.New("can't connect to the router: use another router")
	// ErrInvalidResponse means that a response doesn't conform to the API.
	ErrInvalidResponse = errors.New("response doesn't conform to the callers' API: compare the versions of client and server")
)

// Headers of the callers' API.
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
	// Directories are the IP addresses and ports of the directories.
	Directories []string
	// LookupTimeout bounds one address lookup at one directory.
	LookupTimeout time.Duration
	// ConnectTimeout bounds one attempt to connect to a router.
	ConnectTimeout time.Duration
	// ResponseTimeout is the longest wait for the response headers. A router
	// sends nothing while a call is queued for an engine.
	ResponseTimeout time.Duration
	// StallTimeout is the longest wait for the next byte of a response body.
	StallTimeout time.Duration
	// RequestDelay is the wait before each request. It simulates the network
	// delay between the caller and the fleet.
	RequestDelay time.Duration
	// Seed seeds the random order in which directories are tried.
	Seed uint64
}

// Defaults of Settings.
const (
	DefaultLookupTimeout   = time.Second
	DefaultConnectTimeout  = time.Second
	DefaultResponseTimeout = 10 * time.Second
	DefaultStallTimeout    = 5 * time.Second
)

// Backoff between the attempts of one call.
const (
	backoffInitial = 20 * time.Millisecond
	backoffMax     = 500 * time.Millisecond
)

const (
	maxIdleConnsPerHost = 64
	idleTimeout         = 5 * time.Second
)

// Client is a caller of the fleet. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client

	mu        sync.Mutex
	rng       *rand.Rand
	addresses map[addressKey]cacheEntry
}

// New returns a client. Zero timeouts are replaced by the defaults.
func New(s Settings) *Client {
	s.LookupTimeout = orDefault(s.LookupTimeout, DefaultLookupTimeout)
	s.ConnectTimeout = orDefault(s.ConnectTimeout, DefaultConnectTimeout)
	s.ResponseTimeout = orDefault(s.ResponseTimeout, DefaultResponseTimeout)
	s.StallTimeout = orDefault(s.StallTimeout, DefaultStallTimeout)
	dialer := &net.Dialer{Timeout: s.ConnectTimeout}
	return &Client{
		settings: s,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
		}},
		rng:       rand.New(rand.NewPCG(s.Seed, s.Seed)),
		addresses: make(map[addressKey]cacheEntry),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffInitial
	b.MaxInterval = backoffMax
	return b
}
