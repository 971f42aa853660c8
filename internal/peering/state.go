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
	// stateTimeout bounds the wait for another router's response.
	stateTimeout = 2 * time.Second
	// maxConcurrentTransfers limits the routers that are sent a copy at the same
	// time, to bound memory and bandwidth. Others are refused and ask another
	// router.
	maxConcurrentTransfers = 8
	// compressThreshold is the size in bytes above which a response is compressed.
	// Up to it, a response fits in a few packets.
	compressThreshold = 4 << 10
	// maxStateBytes bounds a response after decompression: a few thousand instances'
	// records and cached parts, and less than a tenth of a small host's memory (400 MB).
	maxStateBytes = 32 << 20
)

// ErrBusy reports that a router is already sending its copy to as many others as
// maxConcurrentTransfers allows.
var ErrBusy = errors.New("router is sending its records to too many others: ask another router")

// FetchState requests from a router the records that are newer than a copy. The
// response is empty if there are none. It returns ErrBusy if the router refuses
// the request, or an error of the connection or of decoding.
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
	response, err = decompress(response)
	if err == nil && !validRevisions(response) {
		return nil, errors.New("state response of a router has an invalid era or revision: update or restart that router")
	}
	return response, err
}

// CloseIdle closes connections that were not used recently.
func (l *Link) CloseIdle(now time.Time) { l.pool.CloseIdle(now) }

// Handlers serve the requests of other routers.
type Handlers struct {
	// State returns the response to a FetchState request.
	State func(*peerpb.StateRequest) *peerpb.StateResponse
	// Permit returns the response to an AskPermit request.
	Permit func(context.Context, *peerpb.PermitRequest) *peerpb.PermitResponse
}

// Serve serves the requests of other routers until the context ends.
func (l *Link) Serve(ctx context.Context, h Handlers) error {
	defer l.pool.Close()
	server := peer.NewServer(l.listener, &streamHandler{Handlers: h, failed: l.failed, refused: l.refused})
	server.OnAcceptError = func(error) { l.notAccepted.Inc(1) }
	return server.Run(ctx)
}

type streamHandler struct {
	Handlers
	inProgress atomic.Int32
	failed     metrics.Counter
	refused    metrics.Counter
}

// ServeStream implements peer.Handler.
func (h *streamHandler) ServeStream(ctx context.Context, header *peerpb.StreamHeader, stream *peer.Stream) {
	var response proto.Message
	switch {
	case header.GetState() != nil:
		defer h.inProgress.Add(-1)
		response = h.serveState(header.GetState())
	case header.GetPermit() != nil:
		response = h.Permit(ctx, header.GetPermit())
	default:
		h.failed.Inc(1)
		return
	}
	if err := stream.Send(response); err != nil {
		h.failed.Inc(1)
	}
}

func (h *streamHandler) serveState(request *peerpb.StateRequest) *peerpb.StateResponse {
	if h.inProgress.Add(1) > maxConcurrentTransfers {
		h.refused.Inc(1)
		return &peerpb.StateResponse{Busy: true}
	}
	return compress(h.State(request))
}

// compress compresses a response that exceeds compressThreshold. It returns others
// unchanged.
func compress(response *peerpb.StateResponse) *peerpb.StateResponse {
	if proto.Size(response) <= compressThreshold {
		return response
	}
	data, err := proto.Marshal(response)
	if err != nil {
		return response
	}
	var compressed bytes.Buffer
	// Writes to a bytes.Buffer don't fail.
	w := gzip.NewWriter(&compressed)
	_, _ = w.Write(data)
	_ = w.Close()
	return &peerpb.StateResponse{Compressed: compressed.Bytes()}
}

// decompress reverses compress.
func decompress(response *peerpb.StateResponse) (*peerpb.StateResponse, error) {
	if len(response.GetCompressed()) == 0 {
		return response, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(response.GetCompressed()))
	if err != nil {
		return nil, errors.Wrap(err, "open compressed state response")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress state response")
	}
	if len(data) > maxStateBytes {
		return nil, errors.Errorf("state response of a router has more than %d bytes: update or restart that router", maxStateBytes)
	}
	full := &peerpb.StateResponse{}
	if err := proto.Unmarshal(data, full); err != nil {
		return nil, errors.Wrap(err, "decode decompressed state response")
	}
	return full, nil
}
