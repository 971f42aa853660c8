package memquota

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
)

// endless is a message without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestMessagesAreReadWhole(t *testing.T) {
	q := New(64 << 20)
	for _, size := range []int{0, 1, 511, 512, 513, 100_000, 3 << 20} {
		want := bytes.Repeat([]byte{7}, size)
		r := q.Reserve()
		got, err := r.ReadAll(iotest.HalfReader(bytes.NewReader(want)), int64(size))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("size %d: %d bytes, %v", size, len(got), err)
		}
		if q.Used() < int64(size) {
			t.Errorf("size %d: %d bytes are reserved", size, q.Used())
		}
		if r.Release(); q.Used() != 0 {
			t.Errorf("size %d: %d bytes stay reserved", size, q.Used())
		}
		if size > 0 {
			if _, err := r.ReadAll(bytes.NewReader(want), int64(size)-1); !errors.Is(err, ErrTooLong) {
				t.Errorf("size %d, limit one less: %v", size, err)
			}
			r.Release()
		}
	}
	r := q.Reserve()
	defer r.Release()
	if _, err := r.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error of the reader: %v", err)
	}
}

// Messages without an end arrive in any number, and some of them end early. The quota
// holds, but for the guaranteed size of each, and a shorter message than that is always read.
func TestMessagesWithoutEndKeepTheQuota(t *testing.T) {
	const limit = 4 << 20
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("the quota holds", prop.ForAll(func(codes []uint8) bool {
		q := New(limit)
		var open []*Reservation
		for _, code := range codes {
			if code%4 == 0 && len(open) > 0 {
				open[0].Release()
				open = open[1:]
				continue
			}
			r := q.Reserve()
			open = append(open, r)
			if _, err := r.ReadAll(endless{}, 1<<40); !errors.Is(err, ErrExhausted) {
				return false
			}
			usual := q.Reserve()
			_, err := usual.ReadAll(strings.NewReader(strings.Repeat("x", guaranteedBytes-1)), guaranteedBytes)
			usual.Release()
			if err != nil || q.Used() > limit+int64(len(open))*guaranteedBytes {
				return false
			}
		}
		for _, r := range open {
			r.Release()
		}
		return q.Used() == 0
	}, gen.SliceOfN(40, gen.UInt8())))
	properties.TestingRun(t)
}

// One message without an end leaves half of the quota to others.
func TestOneMessageTakesHalfOfTheQuota(t *testing.T) {
	const limit = 1 << 20
	q := New(limit)
	r := q.Reserve()
	defer r.Release()
	if _, err := r.ReadAll(endless{}, 1<<40); !errors.Is(err, ErrExhausted) || q.Used() > limit/2 {
		t.Errorf("%d bytes are reserved, %v", q.Used(), err)
	}
	other := q.Reserve()
	defer other.Release()
	const size = limit / 8
	if _, err := other.ReadAll(strings.NewReader(strings.Repeat("x", size)), size); err != nil {
		t.Errorf("a message of %d bytes beside it: %v", size, err)
	}
}
