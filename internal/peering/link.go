package peering

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/hostport"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// maxDatagramBytes bounds the size of a datagram, below the usual path MTU.
	maxDatagramBytes = 1400
	// maxReceivedBytes is the size of the longest datagram that UDP carries. A shorter buffer
	// would cut datagrams without an error.
	maxReceivedBytes = 64 << 10
	// senderIDBytes is the space reserved for the sender's name and incarnation.
	senderIDBytes = 100
	// maxSentMS is the latest time in milliseconds that a digest may name, beyond the
	// uptime of any host.
	maxSentMS = 1 << 40
)

// ErrPeerAddress reports that the router can't listen on its peer address.
var ErrPeerAddress = errors.New("can't listen on the peer address: set an IP address and a free port of this host")

// Received is one datagram from another router.
type Received struct {
	Router Router
	Digest *peerpb.Digest
	// State is set instead of Digest if the datagram holds changes of the records.
	// Of Router, only the name and incarnation are set then.
	State *peerpb.StateResponse
	// Streams is set instead of Digest if the datagram names streams that the router has
	// begun. Of Router, only the name and incarnation are set then.
	Streams *peerpb.StreamOrigins
	News    News
}

// Link exchanges datagrams and copies of the records with other routers.
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
	// refused counts requests for a copy that were refused because of
	// maxConcurrentTransfers.
	refused metrics.Counter
	// notAccepted counts failures to accept a session, for example for lack of descriptors.
	notAccepted metrics.Counter
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
		refused: counter("copies.refused"), notAccepted: counter("sessions.not_accepted"),
	}, nil
}

// News are the messages about crashes and rate limits that go with a digest.
type News struct {
	Strikes    []*peerpb.Strike
	Trials     []*peerpb.Trial
	RateLimits []*peerpb.RateLimit
}

func (n News) empty() bool { return len(n.Strikes)+len(n.Trials)+len(n.RateLimits) == 0 }

// split returns the messages about crashes, and those about rate limits.
func (n News) split() []News {
	return []News{{Strikes: n.Strikes, Trials: n.Trials}, {RateLimits: n.RateLimits}}
}

// datagram returns a datagram with the news and without a body.
func (n News) datagram() *peerpb.Datagram {
	return &peerpb.Datagram{Strikes: n.Strikes, Trials: n.Trials, RateLimits: n.RateLimits}
}

// SendDigest sends a digest with news to the given addresses, the news in datagrams of
// their own if they don't fit into the digest's. Delivery is not guaranteed; send
// failures are counted.
func (l *Link) SendDigest(to []string, d *peerpb.Digest, n News) {
	message := n.datagram()
	message.Body = &peerpb.Datagram_Digest{Digest: d}
	if proto.Size(message) <= maxDatagramBytes-senderIDBytes || n.empty() {
		l.send(to, message)
		return
	}
	l.send(to, &peerpb.Datagram{Body: &peerpb.Datagram_Digest{Digest: d}})
	unchanged := &peerpb.StateResponse{
		Revision: d.GetStateRevision(), FromRevision: d.GetStateRevision(), ChangedRevision: d.GetChangedRevision(),
		Era: d.GetEra(), FromEra: d.GetEra(),
	}
	for _, part := range n.split() {
		if !part.empty() {
			message := part.datagram()
			message.Body = &peerpb.Datagram_State{State: unchanged}
			l.send(to, message)
		}
	}
}

// SendState sends changes of the records to the given addresses. It returns false
// if they don't fit in a datagram.
func (l *Link) SendState(to []string, s *peerpb.StateResponse) bool {
	d := &peerpb.Datagram{Body: &peerpb.Datagram_State{State: s}}
	if proto.Size(d) > maxDatagramBytes-senderIDBytes {
		return false
	}
	l.send(to, d)
	return true
}

// maxStreamsPerDatagram bounds the streams in one datagram.
const maxStreamsPerDatagram = 96

// SendStreams sends the streams that this router has begun to the given addresses, in as many
// datagrams as they take. Delivery is not guaranteed; send failures, and versions whose names
// don't fit into a datagram, are counted.
func (l *Link) SendStreams(to []string, record *peerpb.StreamOrigins) {
	for _, group := range record.GetStreams() {
		for streams := range slices.Chunk(group.GetStreams(), maxStreamsPerDatagram) {
			part := &peerpb.VersionStreams{Service: group.GetService(), Version: group.GetVersion(), Streams: streams}
			d := &peerpb.Datagram{Body: &peerpb.Datagram_Streams{Streams: &peerpb.StreamOrigins{Streams: []*peerpb.VersionStreams{part}}}}
			if proto.Size(d) > maxDatagramBytes-senderIDBytes {
				l.failed.Inc(1)
				continue
			}
			l.send(to, d)
		}
	}
}

func (l *Link) send(to []string, d *peerpb.Datagram) {
	d.From, d.Incarnation = l.name, l.incarnation
	data, err := proto.Marshal(d)
	if err != nil {
		l.failed.Inc(1)
		return
	}
	for _, address := range to {
		target, err := hostport.Parse(address)
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

// Receive calls deliver for each valid datagram until the context ends.
func (l *Link) Receive(ctx context.Context, deliver func(Received)) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	buffer := make([]byte, maxReceivedBytes)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.failed.Inc(1)
			continue
		}
		received, ok := parseDatagram(buffer[:n])
		if !ok {
			l.malformed.Inc(1)
			continue
		}
		deliver(received)
	}
}

// parseDatagram decodes a datagram. It returns false if the datagram is malformed.
func parseDatagram(data []byte) (Received, bool) {
	d := &peerpb.Datagram{}
	if err := proto.Unmarshal(data, d); err != nil || d.GetFrom() == "" {
		return Received{}, false
	}
	news := News{Strikes: d.GetStrikes(), Trials: d.GetTrials(), RateLimits: d.GetRateLimits()}
	if state := d.GetState(); state != nil {
		if !validRevisions(state) {
			return Received{}, false
		}
		return Received{Router: Router{Name: d.GetFrom(), Incarnation: d.GetIncarnation()}, State: state, News: news}, true
	}
	if streams := d.GetStreams(); streams != nil {
		return Received{Router: Router{Name: d.GetFrom(), Incarnation: d.GetIncarnation()}, Streams: streams, News: news}, true
	}
	if d.GetDigest() == nil {
		return Received{}, false
	}
	digest := d.GetDigest()
	if !validAddresses(digest) || !kv.ValidRevision(digest.GetEra(), digest.GetStateRevision()) ||
		!kv.ValidRevision(digest.GetEra(), digest.GetChangedRevision()) {
		return Received{}, false
	}
	return Received{
		Router: Router{
			Name: d.GetFrom(), Incarnation: d.GetIncarnation(), CallerAddress: digest.GetCallerAddress(),
			PeerAddress: digest.GetPeerAddress(), Region: digest.GetRegion(),
			Accepting: digest.GetAccepting(), Leaving: digest.GetLeaving(),
			StateRevision:   kv.JoinRevision(digest.GetEra(), digest.GetStateRevision()),
			ChangedRevision: kv.JoinRevision(digest.GetEra(), digest.GetChangedRevision()), FetchNow: digest.GetFetchNow(),
			FollowsStore: digest.GetFollowsStore(), SentAt: time.Duration(min(max(digest.GetSentMs(), 0), maxSentMS)) * time.Millisecond,
		},
		Digest: digest, News: news,
	}, true
}

// validAddresses reports whether a router can be reached at the addresses that it names.
// One that serves no callers names none for them.
func validAddresses(d *peerpb.Digest) bool {
	if _, err := hostport.Parse(d.GetPeerAddress()); err != nil {
		return false
	}
	_, err := hostport.Parse(d.GetCallerAddress())
	return err == nil || d.GetCallerAddress() == ""
}

func validRevisions(s *peerpb.StateResponse) bool {
	return kv.ValidRevision(s.GetEra(), s.GetRevision()) && kv.ValidRevision(s.GetFromEra(), s.GetFromRevision()) &&
		kv.ValidRevision(s.GetEra(), s.GetChangedRevision()) &&
		!slices.ContainsFunc(s.GetEntries(), func(e *peerpb.StateEntry) bool { return !kv.ValidRevision(e.GetEra(), e.GetRevision()) })
}
