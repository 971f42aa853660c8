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

// Results of using a connection to an upstream, see package membership.
const (
	ConnOK         = membership.ConnOK
	ConnRefused    = membership.ConnRefused
	ConnCrashed    = membership.ConnCrashed
	ConnIncomplete = membership.ConnIncomplete
	ConnLeaving    = membership.ConnLeaving
)

// ErrPeerAddress reports that the UDP socket of the daemon can't be opened.
var ErrPeerAddress = errors.New("can't listen on peer_address for UDP: set it to an IP address of this host and a free port")

// Options configure a Manager. Callbacks run on the control goroutine and must
// not block.
type Options struct {
	// Self is this daemon; its kind must be router or directory. A directory
	// only observes the fleet and owns no upstreams.
	Self        hostlist.Host
	HostListURL string
	Settings    Settings
	// Seed determines the order of probes; zero means the start time.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// LoadSource returns this daemon's requests in flight by fleet.Pool.Hash; nil
	// means none. It is called once per round.
	LoadSource func() map[uint32]int
	// OnStrike is called once for each strike, the record of a crash, received from
	// another daemon.
	OnStrike func(*peerpb.Strike)
	// OnTrial is called once for each trial received from another daemon.
	OnTrial func(*peerpb.Trial)
	// BlamedStrikes returns the strikes for which requests are refused; nil means none.
	BlamedStrikes func() []*peerpb.Strike
	// OnPeerRevision is called when a daemon announces a higher configuration
	// revision than the one set with SetConfigRevision.
	OnPeerRevision func(peerAddress string, revision uint64)
	// Registry is where the metrics are registered; nil means a new registry.
	Registry metrics.Registry
	// Logger receives messages about changes of state; nil means the standard
	// logger.
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
	if o.OnTrial == nil {
		o.OnTrial = func(*peerpb.Trial) {}
	}
	if o.BlamedStrikes == nil {
		o.BlamedStrikes = func() []*peerpb.Strike { return nil }
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

// commandBuffer is the maximum number of commands queued for the control
// goroutine.
const commandBuffer = 1024

// Manager runs the fleet membership of one daemon. Its methods are safe for
// concurrent use.
type Manager struct {
	options  Options
	conn     *net.UDPConn
	view     atomic.Pointer[View]
	revision atomic.Uint64
	commands chan command

	mu      sync.Mutex
	changed chan struct{}
}

// New opens the daemon's UDP socket; an error wraps ErrPeerAddress. The caller
// then calls Run.
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

// Run is the daemon's membership of the fleet until ctx is done. It closes the
// socket before it returns.
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

// View returns the current view; it is never nil.
func (m *Manager) View() *View { return m.view.Load() }

// Changed returns a channel that is closed when the next view is published.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// publish replaces the view and wakes those who wait on Changed.
func (m *Manager) publish(v *View) {
	m.view.Store(v)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetConfigRevision sets the configuration revision that is announced to other
// daemons.
func (m *Manager) SetConfigRevision(revision uint64) { m.revision.Store(revision) }

// ReportUpstream reports the result of using a connection to an upstream.
func (m *Manager) ReportUpstream(name string, result ConnResult) {
	m.post(upstreamReport{name: name, result: result})
}

// ReportPeer reports whether using a connection to a router succeeded.
func (m *Manager) ReportPeer(name string, ok bool) { m.post(peerReport{name: name, ok: ok}) }

// PublishStrike sends a strike, the record of a crash, to the other daemons.
func (m *Manager) PublishStrike(s *peerpb.Strike) { m.post(strikePublished{strike: s}) }

// PublishTrial sends a trial, the record of a run of a request with strikes, to the other
// daemons.
func (m *Manager) PublishTrial(t *peerpb.Trial) { m.post(trialPublished{trial: t}) }

// Leave announces that this daemon is leaving. Run continues.
func (m *Manager) Leave() { m.post(leaveAnnounced{}) }

// post queues a command for the control goroutine. If the queue is full, it
// drops the command and counts it.
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

// readDatagrams queues received datagrams as commands until the socket is
// closed.
func (m *Manager) readDatagrams(ctx context.Context) error {
	buffer := make([]byte, maxReceivedBytes)
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
