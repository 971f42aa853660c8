package peer

import (
	"bufio"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// maxMessageBytes is the size limit of a received message; Receive fails on a
	// larger one.
	maxMessageBytes = 8 << 20
	// writeTimeout bounds a write that blocks because the peer doesn't read.
	writeTimeout = 5 * time.Second
)

// Stream exchanges length-prefixed protobuf messages over one yamux stream. One
// goroutine may send while another receives.
type Stream struct {
	conn   *yamux.Stream
	reader *bufio.Reader
}

func newStream(conn *yamux.Stream) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes one message. It fails after writeTimeout if the peer doesn't read.
func (s *Stream) Send(m proto.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "peer stream")
	}
	_, err := protodelim.MarshalTo(s.conn, m)
	return errors.Wrap(err, "send to peer")
}

// Receive reads one message into m. A zero timeout means no time limit.
func (s *Stream) Receive(m proto.Message, timeout time.Duration) error {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "peer stream")
	}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return errors.Wrap(options.UnmarshalFrom(s.reader, m), "receive from peer")
}

// Close closes both directions of the stream.
func (s *Stream) Close() { _ = s.conn.Close() }

// IsTimeout reports whether an error returned by Receive or Send is a timeout.
func IsTimeout(err error) bool {
	if errors.Is(err, yamux.ErrTimeout) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// Pool pings an idle session before reuse, so no keep-alive traffic is needed.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = openTimeout
	config.LogOutput = discardWriter{}
	return config
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func receiveHeader(s *Stream) (*peerpb.StreamHeader, error) {
	header := &peerpb.StreamHeader{}
	err := s.Receive(header, headerTimeout)
	return header, err
}
