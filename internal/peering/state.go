package peering

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// stateTimeout bounds the wait for another router's copy of the records.
	stateTimeout = 2 * time.Second
	// maxServed is the number of routers that get a copy at the same time: beyond
	// it, copies in memory and on the link add up. The others ask elsewhere.
	maxServed = 8
	// compressAbove is the size of an answer from which on it is compressed, in
	// bytes; below, it fits in a few packets.
	compressAbove = 4 << 10
	// maxState bounds a copy after decompression, in bytes.
	maxState = 256 << 20
)

// ErrBusy means that a router gives its copy to as many others as it may.
var ErrBusy = errors.New("router is busy giving its records to others: ask another router")

// FetchState asks a router for what a copy of the platform's records lacks. The
// answer is empty when it has nothing newer. Its errors are ErrBusy and those of
// the connection.
func (l *Link) FetchState(ctx context.Context, address string, request *peerpb.StateRequest) (*peerpb.StateResponse, error) {
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
	if response.GetBusy() {
		return nil, ErrBusy
	}
	return expand(response)
}

// CloseIdle closes connections to routers that were not asked lately.
func (l *Link) CloseIdle(now time.Time) { l.pool.CloseIdle(now) }

// ServeState answers other routers' FetchState until the context ends.
func (l *Link) ServeState(ctx context.Context, state func(*peerpb.StateRequest) *peerpb.StateResponse) error {
	defer l.pool.Close()
	return peer.NewServer(l.listener, &stateHandler{state: state, failed: l.failed, refused: l.refused}).Run(ctx)
}

type stateHandler struct {
	state   func(*peerpb.StateRequest) *peerpb.StateResponse
	serving atomic.Int32
	failed  metrics.Counter
	refused metrics.Counter
}

// ServeStream implements peer.Handler.
func (h *stateHandler) ServeStream(_ context.Context, header *peerpb.StreamHeader, stream *peer.Stream) {
	request := header.GetState()
	if request == nil {
		h.failed.Inc(1)
		return
	}
	defer h.serving.Add(-1)
	response := &peerpb.StateResponse{Busy: true}
	if h.serving.Add(1) <= maxServed {
		response = compact(h.state(request))
	} else {
		h.refused.Inc(1)
	}
	if err := stream.Send(response); err != nil {
		h.failed.Inc(1)
	}
}

// compact compresses an answer that is long.
func compact(response *peerpb.StateResponse) *peerpb.StateResponse {
	if proto.Size(response) <= compressAbove {
		return response
	}
	data, err := proto.Marshal(response)
	if err != nil {
		return response
	}
	var compressed bytes.Buffer
	// Writes to a buffer don't fail.
	w := gzip.NewWriter(&compressed)
	_, _ = w.Write(data)
	_ = w.Close()
	return &peerpb.StateResponse{Compressed: compressed.Bytes()}
}

// expand undoes compact.
func expand(response *peerpb.StateResponse) (*peerpb.StateResponse, error) {
	if len(response.GetCompressed()) == 0 {
		return response, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(response.GetCompressed()))
	if err != nil {
		return nil, errors.Wrap(err, "records of another router")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxState))
	if err != nil {
		return nil, errors.Wrap(err, "records of another router")
	}
	whole := &peerpb.StateResponse{}
	if err := proto.Unmarshal(data, whole); err != nil {
		return nil, errors.Wrap(err, "records of another router")
	}
	return whole, nil
}
