package etcdjson

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Paths of the gateway's endpoints.
const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
)

// int64String is an int64 that the gateway encodes as a JSON string. Decoding also
// accepts a JSON number.
type int64String int64

// MarshalJSON encodes the number as a JSON string.
func (n int64String) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON decodes a JSON string or number.
func (n *int64String) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	if err != nil {
		return errors.Wrap(err, "decode 64-bit integer of the gateway")
	}
	*n = int64String(value)
	return nil
}

type responseHeader struct {
	Revision int64String `json:"revision"`
}

type keyValue struct {
	Key            []byte      `json:"key"`
	Value          []byte      `json:"value"`
	CreateRevision int64String `json:"create_revision"`
	ModRevision    int64String `json:"mod_revision"`
	Lease          int64String `json:"lease"`
}

func (p keyValue) entry() kv.Entry {
	return kv.Entry{
		Key:            string(p.Key),
		Value:          p.Value,
		CreateRevision: int64(p.CreateRevision),
		ModRevision:    int64(p.ModRevision),
		Lease:          kv.LeaseID(p.Lease),
	}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	KVs    []keyValue     `json:"kvs"`
}

type compare struct {
	Key         []byte      `json:"key"`
	Target      string      `json:"target"`
	Result      string      `json:"result"`
	ModRevision int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

func encodeTxn(txn kv.Txn) txnRequest {
	var request txnRequest
	for _, c := range txn.If {
		request.Compare = append(request.Compare, compare{
			Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64String(c.ModRevision),
		})
	}
	for _, op := range txn.Then {
		request.Success = append(request.Success, encodeOp(op))
	}
	return request
}

func encodeOp(op kv.Op) requestOp {
	if op.Delete {
		return requestOp{Delete: &deleteRequest{Key: []byte(op.Key)}}
	}
	return requestOp{Put: &putRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64String(op.Lease)}}
}

type grantRequest struct {
	TTL int64String `json:"TTL"`
}

type leaseRequest struct {
	ID int64String `json:"ID"`
}

type leaseResponse struct {
	ID    int64String `json:"ID"`
	TTL   int64String `json:"TTL"`
	Error string      `json:"error"`
}

type keepAliveResponse struct {
	Result leaseResponse  `json:"result"`
	Error  *errorResponse `json:"error"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end,omitempty"`
	StartRevision int64String `json:"start_revision,omitempty"`
}

type watchMessage struct {
	Result watchResult    `json:"result"`
	Error  *errorResponse `json:"error"`
}

type watchResult struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created"`
	Canceled        bool           `json:"canceled"`
	CancelReason    string         `json:"cancel_reason"`
	CompactRevision int64String    `json:"compact_revision"`
	Events          []watchEvent   `json:"events"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

func (r watchResult) batch() kv.WatchBatch {
	batch := kv.WatchBatch{Revision: int64(r.Header.Revision)}
	for _, event := range r.Events {
		batch.Events = append(batch.Events, kv.Event{
			Entry: event.KV.entry(), Deleted: event.Type == "DELETE",
		})
	}
	return batch
}

// prefixEnd returns the exclusive end of the range of keys that start with
// prefix, for the gateway's range_end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
