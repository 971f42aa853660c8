package claims

import (
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/journalpb"
	"github.com/verbenatrail/verbenatrail/internal/ledger"
)

func encodeSegment(s ledger.Segment) ([]byte, error) {
	message := &journalpb.Segment{
		Holder: s.Holder, Nonce: s.Nonce, HorizonMs: s.Horizon, Compacted: s.Compacted,
		Records: make([]*journalpb.Record, 0, len(s.Records)),
	}
	for _, r := range s.Records {
		message.Records = append(message.Records, encodeRecord(r))
	}
	return proto.Marshal(message)
}

func encodeRecord(r ledger.Record) *journalpb.Record {
	message := &journalpb.Record{
		Kind: journalpb.RecordKind(r.Kind), Key: r.Key[:], Fingerprint: r.Fingerprint,
	}
	if r.Kind == ledger.RecordAnswer {
		message.Answer = &journalpb.Answer{
			Status: uint32(r.Result.Status), Headers: r.Result.Headers,
			Body: r.Result.Body, BodyOmitted: r.Result.BodyOmitted,
		}
	}
	return message
}

func decodeSegment(value []byte) (ledger.Segment, error) {
	var message journalpb.Segment
	if err := proto.Unmarshal(value, &message); err != nil {
		return ledger.Segment{}, errors.WithMessage(ErrJournalDamaged, err.Error())
	}
	s := ledger.Segment{
		Holder: message.GetHolder(), Nonce: message.GetNonce(),
		Horizon: message.GetHorizonMs(), Compacted: message.GetCompacted(),
	}
	for _, m := range message.GetRecords() {
		r, err := decodeRecord(m)
		if err != nil {
			return ledger.Segment{}, err
		}
		s.Records = append(s.Records, r)
	}
	return s, nil
}

func decodeRecord(m *journalpb.Record) (ledger.Record, error) {
	key, err := uuid.FromBytes(m.GetKey())
	if err != nil {
		return ledger.Record{}, errors.WithMessage(ErrJournalDamaged, err.Error())
	}
	kind := ledger.RecordKind(m.GetKind())
	if kind < ledger.RecordClaim || kind > ledger.RecordRelease {
		return ledger.Record{}, errors.WithMessagef(ErrJournalDamaged, "record of kind %d", kind)
	}
	answer := m.GetAnswer()
	return ledger.Record{
		Kind: kind, Key: key, Fingerprint: m.GetFingerprint(),
		Result: ledger.Result{
			Status: int(answer.GetStatus()), Headers: answer.GetHeaders(),
			Body: answer.GetBody(), BodyOmitted: answer.GetBodyOmitted(),
		},
	}, nil
}
