package claims

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/journalpb"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/ledger"
)

// ErrJournalDamaged means that a slot's journal can't be decoded. All claims of
// the slot are refused, since actions that have run can't be told from new ones.
var ErrJournalDamaged = errors.New("claim journal damaged: restore the slot's keys, or delete them after a pause of one retention without actions")

const (
	headName       = "head"
	segmentsName   = "segments/"
	numberDigits   = 16
	decimal        = 10
	numberBits     = 64
	journalKeyRoot = "verbenatrail/"
)

// journalStore reads and writes the journal of one slot.
type journalStore struct {
	claims *Claims
	prefix string
}

func newJournalStore(c *Claims, slot int) journalStore {
	return journalStore{claims: c, prefix: journalKeyRoot + SlotName(slot) + "/"}
}

func (s journalStore) headKey() string { return s.prefix + headName }

func (s journalStore) segmentKey(number uint64) string {
	return fmt.Sprintf("%s%s%0*d", s.prefix, segmentsName, numberDigits, number)
}

func (s journalStore) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.claims.ctx, s.claims.options.Settings.CallTimeout.Std())
}

// load reads the whole journal. The nonce identifies this takeover of the slot.
func (s journalStore) load(nonce uint64) ledger.Event {
	ctx, cancel := s.callContext()
	defer cancel()
	s.claims.counters.loads.Inc(1)
	loaded, err := s.read(ctx)
	if err != nil {
		s.claims.counters.loadFailures.Inc(1)
		s.claims.options.Logger.WithError(err).WithField("journal", s.prefix).Debug("failed to load claim journal")
		return ledger.LoadFailed{RateLimited: errors.Is(err, kv.ErrRateLimited), Reason: loadRefusal(err)}
	}
	loaded.Nonce = nonce
	return loaded
}

func (s journalStore) read(ctx context.Context) (ledger.Loaded, error) {
	if err := s.claims.layout.check(ctx, s.claims.options.Store); err != nil {
		return ledger.Loaded{}, err
	}
	entries, _, err := s.claims.options.Store.List(ctx, s.prefix)
	if err != nil {
		return ledger.Loaded{}, err
	}
	return s.decode(entries)
}

// decode decodes the segments in key order and checks that the last one is the
// segment that the head names.
func (s journalStore) decode(entries []kv.Entry) (ledger.Loaded, error) {
	var loaded ledger.Loaded
	var head journalpb.Head
	for _, entry := range entries {
		if entry.Key == s.headKey() {
			loaded.Head = entry.ModRevision
			if err := proto.Unmarshal(entry.Value, &head); err != nil {
				return loaded, errors.WithMessage(ErrJournalDamaged, err.Error())
			}
			continue
		}
		segment, err := s.decodeEntry(entry)
		if err != nil {
			return loaded, err
		}
		loaded.Segments = append(loaded.Segments, segment)
	}
	var newest uint64
	if n := len(loaded.Segments); n > 0 {
		newest = loaded.Segments[n-1].Number
	}
	if newest != head.GetNumber() {
		return loaded, errors.WithMessagef(ErrJournalDamaged, "head names segment %d, newest is %d", head.GetNumber(), newest)
	}
	return loaded, nil
}

func (s journalStore) decodeEntry(entry kv.Entry) (ledger.NumberedSegment, error) {
	text := strings.TrimPrefix(entry.Key, s.prefix+segmentsName)
	number, err := strconv.ParseUint(text, decimal, numberBits)
	if err != nil {
		return ledger.NumberedSegment{}, errors.WithMessage(ErrJournalDamaged, "unexpected key "+entry.Key)
	}
	segment, err := decodeSegment(entry.Value)
	return ledger.NumberedSegment{Number: number, Segment: segment}, err
}

// append writes a segment and advances the head in one transaction.
func (s journalStore) append(a ledger.Append) ledger.Event {
	txn, err := s.transaction(a)
	if err != nil {
		s.claims.options.Logger.WithError(err).Error("failed to encode claim segment")
		return ledger.NotApplied{Number: a.Number}
	}
	ctx, cancel := s.callContext()
	defer cancel()
	s.claims.counters.appends.Inc(1)
	started := s.claims.options.Clock.Now()
	result, err := s.claims.options.Store.Commit(ctx, txn)
	s.claims.counters.appendTime.Update(s.claims.options.Clock.Now().Sub(started))
	return s.appendResult(a.Number, result, err)
}

func (s journalStore) transaction(a ledger.Append) (kv.Txn, error) {
	value, err := encodeSegment(a.Segment)
	if err != nil {
		return kv.Txn{}, err
	}
	head, err := proto.Marshal(&journalpb.Head{Number: a.Number})
	if err != nil {
		return kv.Txn{}, err
	}
	s.claims.counters.appendBytes.Inc(int64(len(value)))
	txn := kv.Txn{
		If: []kv.Compare{
			{Key: s.headKey(), ModRevision: a.ExpectedHead},
			{Key: s.segmentKey(a.Number)},
		},
		Then: []kv.Op{kv.Put(s.headKey(), head), kv.Put(s.segmentKey(a.Number), value)},
	}
	for _, number := range a.Remove {
		txn.Then = append(txn.Then, kv.Delete(s.segmentKey(number)))
	}
	return txn, nil
}

func (s journalStore) appendResult(number uint64, result kv.TxnResult, err error) ledger.Event {
	switch {
	case err == nil && result.Succeeded:
		return ledger.Committed{Number: number, Revision: result.Revision}
	case err == nil:
		return ledger.HeadMoved{Number: number}
	case errors.Is(err, kv.ErrRateLimited):
		s.claims.counters.rateLimited.Inc(1)
		return ledger.NotApplied{Number: number, RateLimited: true}
	case errors.Is(err, kv.ErrUnavailable):
		s.claims.counters.notApplied.Inc(1)
		return ledger.NotApplied{Number: number}
	default:
		s.claims.counters.resultUnknown.Inc(1)
		return ledger.ResultUnknown{Number: number}
	}
}

// readBack reads the nonce of a segment, which identifies the holder that wrote
// it. It settles an append whose result is unknown.
func (s journalStore) readBack(r ledger.ReadBack) ledger.Event {
	ctx, cancel := s.callContext()
	defer cancel()
	s.claims.counters.readBacks.Inc(1)
	entry, err := s.claims.options.Store.Get(ctx, s.segmentKey(r.Number))
	if errors.Is(err, kv.ErrNotFound) {
		return ledger.ReadBackDone{Number: r.Number}
	}
	if err != nil {
		return ledger.ReadBackFailed(r)
	}
	segment, err := decodeSegment(entry.Value)
	if err != nil {
		return ledger.ReadBackFailed(r)
	}
	return ledger.ReadBackDone{
		Number: r.Number, Found: true, Nonce: segment.Nonce, Revision: entry.ModRevision,
	}
}

// checkHead reads the revision of the head; zero means that there is no head.
func (s journalStore) checkHead() ledger.Event {
	ctx, cancel := s.callContext()
	defer cancel()
	s.claims.counters.headChecks.Inc(1)
	entry, err := s.claims.options.Store.Get(ctx, s.headKey())
	switch {
	case err == nil:
		return ledger.HeadChecked{Revision: entry.ModRevision}
	case errors.Is(err, kv.ErrNotFound):
		return ledger.HeadChecked{}
	default:
		return ledger.HeadCheckFailed{RateLimited: errors.Is(err, kv.ErrRateLimited)}
	}
}
