package kvserver

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// Int64 is a 64-bit integer that is encoded as a JSON string. Decoding accepts
// JSON numbers as well.
type Int64 int64

// MarshalJSON encodes the integer as a string.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(i), 10))), nil
}

// UnmarshalJSON decodes a string or a number.
func (i *Int64) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	if err != nil {
		return errors.Wrap(err, "read 64-bit integer")
	}
	*i = Int64(value)
	return nil
}

type responseHeader struct {
	ClusterID Int64 `json:"cluster_id"`
	MemberID  Int64 `json:"member_id"`
	Revision  Int64 `json:"revision"`
	RaftTerm  Int64 `json:"raft_term"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision Int64  `json:"create_revision,omitzero"`
	ModRevision    Int64  `json:"mod_revision,omitzero"`
	Version        Int64  `json:"version,omitzero"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitzero"`
}

type rangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     Int64  `json:"limit"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
}

type rangeResponse struct {
	Header *responseHeader `json:"header,omitempty"`
	Kvs    []keyValue      `json:"kvs,omitempty"`
	More   bool            `json:"more,omitempty"`
	Count  Int64           `json:"count,omitzero"`
}

type putRequest struct {
	Key    []byte `json:"key"`
	Value  []byte `json:"value"`
	Lease  Int64  `json:"lease"`
	PrevKv bool   `json:"prev_kv"`
}

type putResponse struct {
	Header *responseHeader `json:"header,omitempty"`
	PrevKv *keyValue       `json:"prev_kv,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	PrevKv   bool   `json:"prev_kv"`
}

type deleteResponse struct {
	Header  *responseHeader `json:"header,omitempty"`
	Deleted Int64           `json:"deleted,omitzero"`
	PrevKvs []keyValue      `json:"prev_kvs,omitempty"`
}

// compare is one condition of a transaction. Target and Result are enum names
// of the gateway; empty values mean VERSION and EQUAL.
type compare struct {
	Target         string `json:"target"`
	Result         string `json:"result"`
	Key            []byte `json:"key"`
	Version        Int64  `json:"version"`
	CreateRevision Int64  `json:"create_revision"`
	ModRevision    Int64  `json:"mod_revision"`
	Value          []byte `json:"value"`
	Lease          Int64  `json:"lease"`
}

type requestOp struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type responseOp struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type txnResponse struct {
	Header    *responseHeader `json:"header,omitempty"`
	Succeeded bool            `json:"succeeded,omitempty"`
	Responses []responseOp    `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID   Int64 `json:"ID"`
	TTL  Int64 `json:"TTL"`
	Keys bool  `json:"keys"`
}

type leaseResponse struct {
	Header     *responseHeader `json:"header,omitempty"`
	ID         Int64           `json:"ID,omitzero"`
	TTL        Int64           `json:"TTL,omitzero"`
	GrantedTTL Int64           `json:"grantedTTL,omitzero"`
	Keys       [][]byte        `json:"keys,omitempty"`
}

type leaseStreamMessage struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create *watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision Int64  `json:"start_revision"`
}

type watchEvent struct {
	// Type is DELETE, or empty for a put.
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          *responseHeader `json:"header,omitempty"`
	WatchID         Int64           `json:"watch_id,omitzero"`
	Created         bool            `json:"created,omitempty"`
	Canceled        bool            `json:"canceled,omitempty"`
	CompactRevision Int64           `json:"compact_revision,omitzero"`
	CancelReason    string          `json:"cancel_reason,omitempty"`
	Events          []watchEvent    `json:"events,omitempty"`
}

type watchMessage struct {
	Result watchResponse `json:"result"`
}

// gatewayError is the JSON form of a failed call.
type gatewayError struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// decodeGateway decodes a request body. The gateway accepts field names in snake
// case and in camel case, such as request_put and requestPut.
func decodeGateway(data []byte, dst any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return errors.Wrap(err, "read JSON")
	}
	normalised, err := json.Marshal(snakeFields(tree))
	if err != nil {
		return errors.Wrap(err, "normalise field names")
	}
	return errors.Wrap(json.Unmarshal(normalised, dst), "decode request")
}

func snakeFields(node any) any {
	switch value := node.(type) {
	case map[string]any:
		out := make(map[string]any, len(value))
		for name, child := range value {
			out[snakeName(name)] = snakeFields(child)
		}
		return out
	case []any:
		for i := range value {
			value[i] = snakeFields(value[i])
		}
	}
	return node
}

// snakeName converts a camel-case name to snake case, such as requestPut to
// request_put. Names with an upper-case first letter, such as ID and TTL, are
// returned unchanged.
func snakeName(name string) string {
	if name == "" || unicode.IsUpper(rune(name[0])) {
		return name
	}
	var out strings.Builder
	for _, r := range name {
		if unicode.IsUpper(r) {
			out.WriteByte('_')
		}
		out.WriteRune(unicode.ToLower(r))
	}
	return out.String()
}
