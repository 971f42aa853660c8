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
	// servedRecords is the number of newest records retained for peers.
	servedRecords = 256
	// maxFullBytes limits the decompressed size of a full copy.
	maxFullBytes = 32 << 20
)

// view is one applied revision with the data that is served to peers. It is immutable.
type view struct {
	declarations *declare.Declarations
	snapshot     *fleet.Snapshot
	drains       declare.DrainSet
	// records are the newest records up to this revision, in order and without gaps.
	records []encodedRecord
	// full returns the compressed full copy, which is created on first use.
	full func() ([]byte, error)
}

// encodedRecord is a record in the encoding that peers exchange.
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
		full:         sync.OnceValues(func() ([]byte, error) { return compressCopy(FullCopy{revision, declarations}) }),
	}
}

// withRecords returns the view after applying records, which must continue its
// revision without gaps.
func (v *view) withRecords(records []Record) (*view, error) {
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

// response returns the changes after a revision, or a full copy if they are not
// retained. It has neither if allowFull refuses a full copy for now.
func (v *view) response(have uint64, allowFull func() bool) (*peerpb.ConfigResponse, error) {
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
	if !allowFull() {
		return response, nil
	}
	full, err := v.full()
	response.Full = full
	return response, err
}

func compressCopy(c FullCopy) ([]byte, error) {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if err := json.NewEncoder(writer).Encode(c); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return out.Bytes(), nil
}

func decompressCopy(data []byte) (*FullCopy, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	var c FullCopy
	if err := json.NewDecoder(io.LimitReader(reader, maxFullBytes)).Decode(&c); err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if c.Declarations == nil {
		return nil, errors.New("decompress configuration: no declarations")
	}
	return &c, nil
}

// decodeRecords decodes the records that a peer sent.
func decodeRecords(changes [][]byte) ([]Record, error) {
	records := make([]Record, 0, len(changes))
	for _, data := range changes {
		var record Record
		if err := json.Unmarshal(data, &record); err != nil {
			return nil, errors.Wrap(err, "decode record")
		}
		records = append(records, record)
	}
	return records, nil
}
