package edge

import (
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// mtuPayload is the largest UDP payload over IPv4 without fragmentation at the usual
// MTU of 1500 bytes.
const mtuPayload = 1472

// When many engines crash, each call in flight adds a strike. Digests must stay
// within one datagram, so that other routers still receive them and all strikes.
func TestDigestsFitInOneDatagram(t *testing.T) {
	c := newTestControl(t)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	now := time.Now()
	c.members.RecordDigest(now, peering.Router{Name: "other", PeerAddress: other.LocalAddr().String()})
	var listed []instances.Instance
	for i := range 200 {
		listed = append(listed, instances.Instance{ID: fmt.Sprintf("instance-%03d", i), Service: "s", Address: "10.0.0.1:80"})
	}
	c.edge.balancer.SetInstances(listed)
	const strikes = 200
	for i := range strikes {
		c.handleNews(now, peering.Received{Router: peering.Router{Name: "other"}, News: peering.News{
			Strikes: []*peerpb.Strike{{
				Fingerprint: uint64(i + 1), Upstream: listed[i].ID, CrashId: uint64(1000 + i), Keys: manyNumbers(i, 24),
			}},
			Trials:     []*peerpb.Trial{{Keys: manyNumbers(1000+i, 25), CrashIds: manyNumbers(2000+i, 24)}},
			RateLimits: []*peerpb.RateLimit{{Instance: loadshare.Hash(listed[i].ID), PerSecond: 1.1, AgeMs: 1 << 30}},
		}})
	}
	buffer := make([]byte, 1<<16)
	sent, limits := map[uint64]bool{}, map[uint32]bool{}
	largest := 0
	for range strikes {
		c.send(now, c.members.PeerAddresses())
		// Messages that don't fit into the digest follow it.
		for crashes, rateLimits := false, false; !crashes || !rateLimits; {
			n := readDatagram(t, other, buffer)
			largest = max(largest, n)
			d := &peerpb.Datagram{}
			if err := proto.Unmarshal(buffer[:n], d); err != nil {
				t.Fatal(err)
			}
			for _, strike := range d.GetStrikes() {
				sent[strike.GetFingerprint()] = true
			}
			for _, l := range d.GetRateLimits() {
				limits[l.GetInstance()] = true
			}
			crashes, rateLimits = crashes || len(d.GetStrikes()) > 0, rateLimits || len(d.GetRateLimits()) > 0
		}
	}
	t.Logf("the largest datagram has %d bytes", largest)
	if largest > mtuPayload {
		t.Errorf("a datagram has %d bytes, more than fit in one packet", largest)
	}
	if len(sent) != strikes {
		t.Errorf("%d of %d strikes were sent", len(sent), strikes)
	}
	if len(limits) != len(listed) {
		t.Errorf("%d of %d rate limits were sent", len(limits), len(listed))
	}
}

func readDatagram(t *testing.T, conn *net.UDPConn, buffer []byte) int {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, err := conn.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// manyNumbers returns n numbers that differ for each i.
func manyNumbers(i, n int) []uint64 {
	var out []uint64
	for k := range n {
		out = append(out, 1<<60+uint64(i*1000+k))
	}
	return out
}
