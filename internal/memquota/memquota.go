// Package memquota bounds the memory that messages of other processes take together
// while they are buffered as a whole.
package memquota

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	// ErrExhausted means that a message may not grow further, since buffered messages
	// take most of the quota.
	ErrExhausted = errors.New("buffered messages take too much memory")
	// ErrTooLong means that a message exceeds its own limit.
	ErrTooLong = errors.New("the message exceeds its limit")
)

const (
	// guaranteedBytes is the size of the buffer that a message gets even if the quota
	// is exhausted: large messages don't keep usual ones out.
	guaranteedBytes = 16 << 10
	// firstBytes is the size of a message's first buffer.
	firstBytes = 512
)

// Quota bounds the memory of buffered messages. Each message may take at most as much
// as it leaves free, so that a single one gets half of the quota, and a number of
// messages without an end leave room for others. It is safe for concurrent use.
type Quota struct {
	limit int64
	used  atomic.Int64
}

// New returns a quota of limit bytes.
func New(limit int64) *Quota { return &Quota{limit: limit} }

// Used returns the bytes that are reserved.
func (q *Quota) Used() int64 { return q.used.Load() }

// Reservation is the share of one message. It is not safe for concurrent use.
type Reservation struct {
	quota *Quota
	size  int64
}

// Reserve returns an empty reservation.
func (q *Quota) Reserve() *Reservation { return &Reservation{quota: q} }

// Grow raises the reservation to size bytes. Its error is ErrExhausted, and the
// reservation is unchanged then.
func (r *Reservation) Grow(size int64) error {
	if size <= r.size {
		return nil
	}
	q := r.quota
	for {
		used := q.used.Load()
		after := used + size - r.size
		if size > guaranteedBytes && size > q.limit-after {
			return errors.Wrapf(ErrExhausted, "%d bytes are read, all messages take %d of %d bytes", r.size, used, q.limit)
		}
		if q.used.CompareAndSwap(used, after) {
			r.size = size
			return nil
		}
	}
}

// Release returns the reserved bytes to the quota. The reservation can be used again.
func (r *Reservation) Release() {
	r.quota.used.Add(-r.size)
	r.size = 0
}

// ReadAll reads a message of at most limit bytes to its end, in a buffer that doubles.
// Its errors are those of the reader, ErrTooLong and ErrExhausted. The message counts
// until Release.
func (r *Reservation) ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	var data []byte
	start := r.size
	for {
		if len(data) == cap(data) {
			if int64(len(data)) > limit {
				return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
			}
			next := min(max(2*int64(cap(data)), firstBytes), limit+1)
			if err := r.Grow(start + next); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, next), data...)
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			if int64(len(data)) > limit {
				return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
			}
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
