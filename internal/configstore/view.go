package configstore

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// servedRecords is the number of newest records kept for peers.
	servedRecords = 256
	// maxFullBytes bounds an unpacked whole copy.
	maxFullBytes = 32 << 20
)

// view is one revision in force with what peers may ask for. It is immutable.
type view struct {
	declarations *declare.Declarations
	snapshot     *fleet.Snapshot
	drains       declare.DrainSet
	// records are the newest, in order and without gaps, up to the revision.
	records []encodedRecord
	// full returns the packed whole copy, made at its first use.
	full func() ([]byte, error)
}

// encodedRecord is a record in the form that peers exchange.
type encodedRecord struct {
	revision uint64
	data     []byte
}

func newView(revision uint64, declarations *declare.Declarations, records []encodedRecord) *view {
	return &view{
		declarations: declarations,
		snapshot:     declare.CompileChecked(declarations, revision),
		drains:       declarations.DrainSet(),
		records:      records,
		full:         sync.OnceValues(func() ([]byte, error) { return packCopy(FullCopy{revision, declarations}) }),
	}
}

// with returns the view after changes that continue it.
func (v *view) with(records []Record) (*view, error) {
	declarations := v.declarations
	kept := v.records
	for _, record := range records {
		data, err := json.Marshal(record)
		if err != nil {
			return nil, errors.Wrap(err, "encode record")
		}
		declarations = declarations.Apply(record.Changes)
		kept = append(kept[:len(kept):len(kept)], encodedRecord{record.Revision, data})
	}
	if surplus := len(kept) - servedRecords; surplus > 0 {
		kept = kept[surplus:]
	}
	return newView(records[len(records)-1].Revision, declarations, kept), nil
}

// answer returns the changes after a revision, or a whole copy when they are
// not kept. When the peer has to wait for a whole copy, there is neither.
func (v *view) answer(have uint64, mayPack func() bool) (*peerpb.ConfigResponse, error) {
	response := &peerpb.ConfigResponse{Revision: v.snapshot.Revision}
	if have >= v.snapshot.Revision {
		return response, nil
	}
	if have > 0 && len(v.records) > 0 && v.records[0].revision <= have+1 {
		for _, record := range v.records {
			if record.revision > have {
				response.Changes = append(response.Changes, record.data)
			}
		}
		return response, nil
	}
	if !mayPack() {
		return response, nil
	}
	full, err := v.full()
	response.Full = full
	return response, err
}

func packCopy(c FullCopy) ([]byte, error) {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if err := json.NewEncoder(writer).Encode(c); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	return out.Bytes(), nil
}

func unpackCopy(data []byte) (*FullCopy, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	var c FullCopy
	if err := json.NewDecoder(io.LimitReader(reader, maxFullBytes)).Decode(&c); err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	if c.Declarations == nil {
		return nil, errors.New("unpack configuration: no declarations")
	}
	return &c, nil
}

// unpackRecords decodes the changes that a peer sent.
func unpackRecords(changes [][]byte) ([]Record, error) {
	records := make([]Record, 0, len(changes))
	for _, data := range changes {
		var record Record
		if err := json.Unmarshal(data, &record); err != nil {
			return nil, errors.Wrap(err, "unpack record")
		}
		records = append(records, record)
	}
	return records, nil
}
