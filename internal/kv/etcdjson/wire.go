package etcdjson

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Paths of the gateway.
const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
)

// int64Text is an int64 that the gateway writes as a string. Plain numbers are
// read too.
type int64Text int64

// MarshalJSON writes the number as a string.
func (n int64Text) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON reads a string or a number.
func (n *int64Text) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	if err != nil {
		return errors.Wrap(err, "gateway number")
	}
	*n = int64Text(value)
	return nil
}

type responseHeader struct {
	Revision int64Text `json:"revision"`
}

type keyValue struct {
	Key            []byte    `json:"key"`
	Value          []byte    `json:"value"`
	CreateRevision int64Text `json:"create_revision"`
	ModRevision    int64Text `json:"mod_revision"`
	Lease          int64Text `json:"lease"`
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
	Key         []byte    `json:"key"`
	Target      string    `json:"target"`
	Result      string    `json:"result"`
	ModRevision int64Text `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease int64Text `json:"lease,omitempty"`
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
			Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64Text(c.ModRevision),
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
	return requestOp{Put: &putRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64Text(op.Lease)}}
}

type grantRequest struct {
	TTL int64Text `json:"TTL"`
}

type leaseRequest struct {
	ID int64Text `json:"ID"`
}

type leaseResponse struct {
	ID    int64Text `json:"ID"`
	TTL   int64Text `json:"TTL"`
	Error string    `json:"error"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
	Error  *failure      `json:"error"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte    `json:"key"`
	RangeEnd      []byte    `json:"range_end,omitempty"`
	StartRevision int64Text `json:"start_revision,omitempty"`
}

type watchMessage struct {
	Result watchResult `json:"result"`
	Error  *failure    `json:"error"`
}

type watchResult struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created"`
	Canceled        bool           `json:"canceled"`
	CancelReason    string         `json:"cancel_reason"`
	CompactRevision int64Text      `json:"compact_revision"`
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

// prefixEnd returns the first key after all keys that start with prefix, as
// the gateway's range_end expects it.
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
