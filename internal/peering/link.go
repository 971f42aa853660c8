package peering

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// maxDatagram is the most bytes of a datagram, below the usual path MTU.
	maxDatagram = 1400
	// stateTimeout bounds the wait for a peer's copy of the records.
	stateTimeout = 2 * time.Second
)

// ErrPeerAddress reports that the router can't receive from others.
var ErrPeerAddress = errors.New("the peer address can't be opened: set a free IP number and port of this host")

// Received is one datagram of another router.
type Received struct {
	Router  Router
	Digest  *peerpb.Digest
	Strikes []*peerpb.Strike
}

// Link carries datagrams and copies of records between routers.
type Link struct {
	name        string
	incarnation uint64
	conn        *net.UDPConn
	listener    net.Listener
	pool        *peer.Pool
	sent        metrics.Counter
	failed      metrics.Counter
	malformed   metrics.Counter
	bytes       metrics.Counter
}

// Open listens on a peer address, over UDP and TCP. Its error is
// ErrPeerAddress.
func Open(name, address string, incarnation uint64, registry metrics.Registry) (*Link, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(ErrPeerAddress, err.Error())
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrap(ErrPeerAddress, err.Error())
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(ErrPeerAddress, err.Error())
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peering."+name, registry) }
	return &Link{
		name: name, incarnation: incarnation, conn: conn, listener: listener, pool: peer.NewPool(),
		sent: counter("datagrams.sent"), failed: counter("datagrams.failed"),
		malformed: counter("datagrams.malformed"), bytes: counter("datagrams.bytes"),
	}, nil
}

// Send sends a digest with strikes to routers. Datagrams may be lost, and
// failures are counted.
func (l *Link) Send(to []string, d *peerpb.Digest, strikes []*peerpb.Strike) {
	data, err := proto.Marshal(&peerpb.Datagram{
		From: l.name, Incarnation: l.incarnation, Strikes: strikes,
		Body: &peerpb.Datagram_Digest{Digest: d},
	})
	if err != nil {
		l.failed.Inc(1)
		return
	}
	for _, address := range to {
		target, err := netip.ParseAddrPort(address)
		if err != nil {
			l.malformed.Inc(1)
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(data, target); err != nil {
			l.failed.Inc(1)
			continue
		}
		l.sent.Inc(1)
		l.bytes.Inc(int64(len(data)))
	}
}

// Receive hands on what arrives until the context ends.
func (l *Link) Receive(ctx context.Context, deliver func(Received)) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.failed.Inc(1)
			continue
		}
		received, ok := parse(buffer[:n])
		if !ok {
			l.malformed.Inc(1)
			continue
		}
		deliver(received)
	}
}

// parse reads a datagram; false when it is none of a router.
func parse(data []byte) (Received, bool) {
	d := &peerpb.Datagram{}
	if err := proto.Unmarshal(data, d); err != nil || d.GetDigest() == nil || d.GetFrom() == "" {
		return Received{}, false
	}
	digest := d.GetDigest()
	if _, err := netip.ParseAddrPort(digest.GetPeerAddress()); err != nil {
		return Received{}, false
	}
	return Received{
		Router: Router{
			Name: d.GetFrom(), Incarnation: d.GetIncarnation(), CallerAddress: digest.GetCallerAddress(),
			PeerAddress: digest.GetPeerAddress(), FailureDomain: digest.GetFailureDomain(),
			Accepting: digest.GetAccepting(), Leaving: digest.GetLeaving(), StateRevision: digest.GetStateRevision(),
		},
		Digest: digest, Strikes: d.GetStrikes(),
	}, true
}

// FetchState asks a router for its copy of the platform's records. The answer
// is empty when it has none that is newer.
func (l *Link) FetchState(ctx context.Context, address string, have int64) (*peerpb.StateResponse, error) {
	request := &peerpb.StateRequest{HaveRevision: have}
	stream, err := l.pool.Open(ctx, address, &peerpb.StreamHeader{Request: &peerpb.StreamHeader_State{State: request}})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	response := &peerpb.StateResponse{}
	if err := stream.Receive(response, stateTimeout); err != nil {
		l.pool.Discard(address)
		return nil, err
	}
	return response, nil
}

// ServeState answers other routers' FetchState until the context ends. State
// returns the copy for a router that has a revision.
func (l *Link) ServeState(ctx context.Context, state func(have int64) *peerpb.StateResponse) error {
	defer l.pool.Close()
	return peer.NewServer(l.listener, stateHandler{state: state, failed: l.failed}).Run(ctx)
}

type stateHandler struct {
	state  func(have int64) *peerpb.StateResponse
	failed metrics.Counter
}

// ServeStream implements peer.Handler.
func (h stateHandler) ServeStream(_ context.Context, header *peerpb.StreamHeader, stream *peer.Stream) {
	request := header.GetState()
	if request == nil {
		h.failed.Inc(1)
		return
	}
	if err := stream.Send(h.state(request.GetHaveRevision())); err != nil {
		h.failed.Inc(1)
	}
}
