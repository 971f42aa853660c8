package link

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// silenceWait is how long a test waits to confirm that nothing arrives.
const silenceWait = 100 * time.Millisecond

// startEcho starts a target that echoes TCP data and UDP datagrams, and returns
// its address.
func startEcho(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = listener.Close()
		_ = packets.Close()
	})
	go echoConnections(listener)
	go echoDatagrams(packets)
	return listener.Addr().String()
}

func echoConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}()
	}
}

func echoDatagrams(packets net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		_, _ = packets.WriteTo(buffer[:n], sender)
	}
}

func startLink(t *testing.T) (*Server, string) {
	s := New(Config{Target: startEcho(t), Delay: time.Millisecond, Seed: 1})
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, address
}

func dial(t *testing.T, network, address string) net.Conn {
	conn, err := net.Dial(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes sends a line and reports whether it is echoed within wait, with the
// read or write error if not.
func echoes(conn net.Conn, wait time.Duration) (bool, error) {
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return false, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return line == "hello\n", err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestRelaysBothProtocols(t *testing.T) {
	s, address := startLink(t)
	for _, network := range []string{"tcp", "udp"} {
		if ok, err := echoes(dial(t, network, address), 5*time.Second); !ok {
			t.Fatalf("%s: %v", network, err)
		}
	}
	if state := s.State(); state.Bytes != 12 || state.Datagrams != 2 || state.DatagramBytes != 12 {
		t.Fatalf("state %+v", state)
	}
}

func TestHalfCloseIsForwarded(t *testing.T) {
	_, address := startLink(t)
	conn := dial(t, "tcp", address)
	_, _ = conn.Write([]byte("last data"))
	_ = conn.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(conn); err != nil || string(got) != "last data" {
		t.Fatalf("read %q, error %v", got, err)
	}
}

func TestSilencedConnectionStaysSilentWhileNewOnesWork(t *testing.T) {
	s, address := startLink(t)
	old := dial(t, "tcp", address)
	if ok, err := echoes(old, 5*time.Second); !ok {
		t.Fatal(err)
	}
	s.Act(Action{SilenceOpen: true})
	if _, err := echoes(old, silenceWait); !isTimeout(err) {
		t.Fatalf("silenced connection: want a read timeout, got %v", err)
	}
	if ok, err := echoes(dial(t, "tcp", address), 5*time.Second); !ok {
		t.Fatal(err)
	}
	if s.State().Silenced != 1 {
		t.Fatalf("state %+v", s.State())
	}
}

func TestCutAndRefusedConnections(t *testing.T) {
	s, address := startLink(t)
	conn := dial(t, "tcp", address)
	if ok, err := echoes(conn, 5*time.Second); !ok {
		t.Fatal(err)
	}
	s.Act(Action{CutOpen: true})
	if _, err := io.ReadAll(conn); isTimeout(err) {
		t.Fatalf("connection was not closed: %v", err)
	}
	s.Faults.Update(func(f *Faults) { f.RefuseNew = true })
	if ok, _ := echoes(dial(t, "tcp", address), 5*time.Second); ok {
		t.Fatal("new connection was not refused")
	}
}

func TestBlackholeDropsEverything(t *testing.T) {
	s, address := startLink(t)
	s.Faults.Update(func(f *Faults) { f.Blackhole = true })
	for _, network := range []string{"tcp", "udp"} {
		if ok, _ := echoes(dial(t, network, address), silenceWait); ok {
			t.Errorf("%s data was relayed during a blackhole", network)
		}
	}
	s.Faults.Update(func(f *Faults) { f.Blackhole, f.DropDatagrams = false, 1 })
	if ok, _ := echoes(dial(t, "udp", address), silenceWait); ok {
		t.Error("a datagram was relayed with DropDatagrams at 1")
	}
}
