package cluster

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// ConnResult is the result of using a connection to an upstream.
type ConnResult = membership.ConnResult

// Results of a connection to an upstream, see package membership.
const (
	ConnOK      = membership.ConnOK
	ConnRefused = membership.ConnRefused
	ConnCrashed = membership.ConnCrashed
	ConnSilent  = membership.ConnSilent
	ConnLeaving = membership.ConnLeaving
)

// ErrPeerAddress reports that the daemon can't receive datagrams.
var ErrPeerAddress = errors.New("peer_address can't be opened for UDP: set a free IP number and port of this host")

// Options configure a Manager. Callbacks run on the control goroutine and must
// not block.
type Options struct {
	// Self is this daemon; its kind must be router or directory. A directory
	// observes and owns nothing.
	Self        hostlist.Host
	HostListURL string
	Settings    Settings
	// Seed determines the order of probes; zero takes the start time.
	Seed uint64
	// Now is the clock; nil takes the machine's.
	Now func() time.Time
	// LoadSource returns this daemon's requests in flight by fleet.Pool.Hash;
	// nil for none. It is called once a round.
	LoadSource func() map[uint32]int
	// OnStrike is called for each strike of another daemon, once.
	OnStrike func(*peerpb.Strike)
	// OnPeerRevision is called when a daemon announces a higher configuration
	// revision than SetConfigRevision.
	OnPeerRevision func(peerAddress string, revision uint64)
	// Registry takes the counters; nil makes a new one.
	Registry metrics.Registry
	// Logger takes changes of state; nil takes the standard one.
	Logger *logrus.Logger
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		o.Seed = uint64(o.Now().UnixNano())
	}
	if o.LoadSource == nil {
		o.LoadSource = func() map[uint32]int { return nil }
	}
	if o.OnStrike == nil {
		o.OnStrike = func(*peerpb.Strike) {}
	}
	if o.OnPeerRevision == nil {
		o.OnPeerRevision = func(string, uint64) {}
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	return o
}

// commandBuffer is the number of commands that wait for the control goroutine.
const commandBuffer = 1024

// Manager is a daemon's part in the fleet. Its methods are safe for concurrent
// use.
type Manager struct {
	options  Options
	conn     *net.UDPConn
	view     atomic.Pointer[View]
	revision atomic.Uint64
	commands chan command

	mu      sync.Mutex
	changed chan struct{}
}

// New opens the daemon's UDP port; its error is ErrPeerAddress. Call Run then.
func New(o Options) (*Manager, error) {
	o = o.withDefaults()
	conn, err := listen(o.Self.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(ErrPeerAddress, err.Error())
	}
	m := &Manager{
		options:  o,
		conn:     conn,
		commands: make(chan command, commandBuffer),
		changed:  make(chan struct{}),
	}
	m.view.Store(&View{Self: o.Self.Name})
	return m, nil
}

func listen(address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
}

// Run takes part in the fleet until the context ends, and closes the port.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.pollList(ctx) })
	group.Go(func() error { return m.readDatagrams(ctx) })
	group.Go(func() error { return newLoop(m).run(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return m.conn.Close()
	})
	return group.Wait()
}

// View returns the newest view; never nil.
func (m *Manager) View() *View { return m.view.Load() }

// Changed returns a channel that is closed when the next view is published.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// publish replaces the view.
func (m *Manager) publish(v *View) {
	m.view.Store(v)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetConfigRevision sets the revision that is announced to other daemons.
func (m *Manager) SetConfigRevision(revision uint64) { m.revision.Store(revision) }

// ReportUpstream takes the result of using a connection to an upstream.
func (m *Manager) ReportUpstream(name string, result ConnResult) {
	m.post(upstreamReport{name: name, result: result})
}

// ReportPeer takes the result of using a connection to a router.
func (m *Manager) ReportPeer(name string, ok bool) { m.post(peerReport{name: name, ok: ok}) }

// PublishStrike tells the other daemons of a crash.
func (m *Manager) PublishStrike(s *peerpb.Strike) { m.post(strikePublished{strike: s}) }

// Leave announces that this daemon leaves; Run goes on.
func (m *Manager) Leave() { m.post(leaveAnnounced{}) }

// post hands a command to the control goroutine; it is counted and dropped
// when too many wait.
func (m *Manager) post(c command) {
	select {
	case m.commands <- c:
	default:
		metrics.GetOrRegisterCounter("cluster.commands.dropped", m.options.Registry).Inc(1)
	}
}

func (m *Manager) pollList(ctx context.Context) error {
	return newListPoller(m.options).run(ctx, func(r listResult) {
		select {
		case m.commands <- listPolled{result: r}:
		case <-ctx.Done():
		}
	})
}

// readDatagrams passes on what arrives until the port is closed.
func (m *Manager) readDatagrams(ctx context.Context) error {
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		m.post(parseDatagram(from, buffer[:n]))
	}
}

func parseDatagram(from netip.AddrPort, data []byte) command {
	d := &peerpb.Datagram{}
	valid := proto.Unmarshal(data, d) == nil
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	return datagramReceived{from: from, datagram: d, bytes: len(data), valid: valid}
}
