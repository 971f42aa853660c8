package etcdjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Watch streams the changes below a prefix after a revision. The stream is
// open when it returns. A silent connection isn't noticed: callers poll
// besides.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan kv.WatchBatch, error) {
	request := watchRequest{Create: watchCreate{
		Key: rangeStart(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64Text(after + 1),
	}}
	var err error
	first := s.current.Load()
	for i := range s.endpoints {
		index := (first + int64(i)) % int64(len(s.endpoints))
		var out <-chan kv.WatchBatch
		out, err = s.openWatch(ctx, s.endpoints[index]+pathWatch, request)
		if err == nil {
			return out, nil
		}
		if !errors.Is(err, kv.ErrUnavailable) || ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

func (s *Store) openWatch(ctx context.Context, url string, request watchRequest) (<-chan kv.WatchBatch, error) {
	ctx, cancel := context.WithCancel(ctx)
	opening := time.AfterFunc(s.timeout, cancel)
	answer, err := s.send(ctx, reads, url, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if !opening.Stop() {
		_ = answer.Body.Close()
		return nil, errors.WithMessage(kv.ErrUnavailable, "watch opened too late")
	}
	out := make(chan kv.WatchBatch)
	go readWatch(ctx, cancel, answer, out)
	return out, nil
}

// readWatch passes on the batches of a stream until it ends.
func readWatch(ctx context.Context, cancel context.CancelFunc, answer *http.Response, out chan<- kv.WatchBatch) {
	defer close(out)
	defer cancel()
	defer answer.Body.Close()
	decoder := json.NewDecoder(answer.Body)
	for {
		batch, ok := nextBatch(decoder)
		if !ok {
			continue
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return
		}
		if batch.Err != nil {
			return
		}
	}
}

// nextBatch reads one message; ok is false for messages without news.
func nextBatch(decoder *json.Decoder) (batch kv.WatchBatch, ok bool) {
	var message watchMessage
	if err := decoder.Decode(&message); err != nil {
		return kv.WatchBatch{Err: endOfWatch(err)}, true
	}
	if message.Error != nil {
		return kv.WatchBatch{Err: message.Error.asError(http.StatusOK, reads)}, true
	}
	batch = message.Result.batch()
	if message.Result.Canceled {
		batch.Err = cancelError(message.Result)
		return batch, true
	}
	return batch, len(batch.Events) > 0
}

func endOfWatch(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.WithMessage(kv.ErrUnavailable, "watch ended by the service")
	}
	return errors.WithMessage(kv.ErrUnavailable, err.Error())
}

func cancelError(result watchResult) error {
	if result.CompactRevision > 0 {
		return errors.WithMessagef(kv.ErrCompacted, "kept from revision %d", int64(result.CompactRevision))
	}
	return errors.WithMessage(kv.ErrUnavailable, "watch cancelled: "+result.CancelReason)
}
