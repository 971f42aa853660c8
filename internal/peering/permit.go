package peering

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// ErrPermitTimeout reports that a router did not decide on a permit in time.
var ErrPermitTimeout = errors.New("the router did not answer in time: ask the next one")

// AskPermit asks a router for a permit. Its error is ErrPermitTimeout, or one of the
// connection.
func (l *Link) AskPermit(ctx context.Context, address string, r *peerpb.PermitRequest, timeout time.Duration) (*peerpb.PermitResponse, error) {
	type result struct {
		response *peerpb.PermitResponse
		err      error
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Opening a session and a stream can take longer than the timeout.
	done := make(chan result, 1)
	go func() {
		response, err := l.askPermit(ctx, address, r, timeout)
		done <- result{response: response, err: err}
	}()
	select {
	case answer := <-done:
		return answer.response, answer.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrPermitTimeout, ctx.Err().Error())
	}
}

func (l *Link) askPermit(ctx context.Context, address string, r *peerpb.PermitRequest, timeout time.Duration) (*peerpb.PermitResponse, error) {
	stream, err := l.pool.Open(ctx, address, &peerpb.StreamHeader{Request: &peerpb.StreamHeader_Permit{Permit: r}})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	response := &peerpb.PermitResponse{}
	if err := stream.Receive(response, timeout); err != nil {
		return nil, err
	}
	return response, nil
}
