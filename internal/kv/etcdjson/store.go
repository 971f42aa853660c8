// Package etcdjson implements a kv.Store over the JSON gateway of etcd v3, which
// encodes keys and values in base64 and 64-bit integers as strings, and streams
// watches as JSON messages, one per line.
package etcdjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Defaults and limits of a Store.
const (
	// DefaultTimeout is the timeout of one attempt at one endpoint; for a watch it
	// covers only the opening of the stream.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response body and of a watch's message.
	maxResponseBytes = 16 << 20
	// maxHeadBytes is the maximum size of a response's head.
	maxHeadBytes = 16 << 10
)

// Options configure a Store.
type Options struct {
	// Endpoints are base URLs like http://127.0.0.1:2379. The first one that
	// responds is used until it fails.
	Endpoints []string
	// Timeout is the timeout of one attempt at one endpoint; zero means
	// DefaultTimeout.
	Timeout time.Duration
	// Transport sends the HTTP requests; nil means a new http.Transport.
	Transport http.RoundTripper
}

// Store is a kv.Store. It is safe for concurrent use.
type Store struct {
	client    *http.Client
	endpoints []string
	timeout   time.Duration
	// current is the index of the endpoint that responded last.
	current atomic.Int64
}

var _ kv.Store = (*Store)(nil)

// New returns a Store without connecting to an endpoint.
func New(options Options) (*Store, error) {
	if len(options.Endpoints) == 0 {
		return nil, errors.New("key-value service has no endpoint: set at least one")
	}
	s := &Store{timeout: options.Timeout}
	if s.timeout <= 0 {
		s.timeout = DefaultTimeout
	}
	for _, endpoint := range options.Endpoints {
		s.endpoints = append(s.endpoints, strings.TrimRight(endpoint, "/"))
	}
	transport := options.Transport
	if transport == nil {
		transport = newTransport()
	}
	s.client = &http.Client{Transport: transport}
	return s, nil
}

func newTransport() http.RoundTripper {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 8
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return transport
}

// Get returns the entry of a key, or kv.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	var response rangeResponse
	err := s.call(ctx, readOnly, pathRange, rangeRequest{Key: []byte(key)}, &response)
	if err != nil {
		return kv.Entry{}, err
	}
	if len(response.KVs) == 0 {
		return kv.Entry{}, errors.WithMessage(kv.ErrNotFound, key)
	}
	return response.KVs[0].entry(), nil
}

// List returns all entries with a key prefix in key order.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	var response rangeResponse
	request := rangeRequest{Key: rangeStart(prefix), RangeEnd: prefixEnd(prefix)}
	if err := s.call(ctx, readOnly, pathRange, request, &response); err != nil {
		return nil, 0, err
	}
	entries := make([]kv.Entry, 0, len(response.KVs))
	for _, pair := range response.KVs {
		entries = append(entries, pair.entry())
	}
	return entries, int64(response.Header.Revision), nil
}

// rangeStart returns the first key of a prefix range. The gateway does not accept
// an empty key, so an empty prefix starts at the zero byte.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

// Commit runs a transaction.
func (s *Store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	var response txnResponse
	if err := s.call(ctx, mutating, pathTxn, encodeTxn(txn), &response); err != nil {
		return kv.TxnResult{}, err
	}
	return kv.TxnResult{Succeeded: response.Succeeded, Revision: int64(response.Header.Revision)}, nil
}

// Grant creates a lease; ttl is rounded up to whole seconds.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response leaseResponse
	if err := s.call(ctx, mutating, pathGrant, grantRequest{TTL: int64String(seconds)}, &response); err != nil {
		return 0, err
	}
	if response.Error != "" {
		return 0, errors.Errorf("key-value service did not grant a lease: %s", response.Error)
	}
	return kv.LeaseID(response.ID), nil
}

// KeepAlive renews a lease once and returns its remaining TTL.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	var response keepAliveResponse
	if err := s.call(ctx, mutating, pathKeepAlive, leaseRequest{ID: int64String(id)}, &response); err != nil {
		return 0, err
	}
	if response.Error != nil {
		return 0, response.Error.asError(http.StatusOK, mutating)
	}
	if response.Result.TTL <= 0 {
		return 0, kv.ErrLeaseExpired
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke ends a lease and deletes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	return s.call(ctx, mutating, pathRevoke, leaseRequest{ID: int64String(id)}, nil)
}

// call sends a request to the endpoints in turn until one responds. It tries the
// next endpoint only if the request was certainly not applied.
func (s *Store) call(ctx context.Context, e effect, path string, request, response any) error {
	var err error
	first := s.current.Load()
	for i := range s.endpoints {
		index := (first + int64(i)) % int64(len(s.endpoints))
		err = s.attempt(ctx, e, s.endpoints[index]+path, request, response)
		if !errors.Is(err, kv.ErrUnavailable) {
			s.current.Store(index)
			return err
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

// attempt sends the request to one endpoint and decodes the response.
func (s *Store) attempt(ctx context.Context, e effect, url string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	httpResponse, err := s.send(ctx, e, url, request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	if response == nil {
		return nil
	}
	// The first JSON value is the complete response, also for a streaming call.
	limited := io.LimitReader(httpResponse.Body, maxResponseBytes)
	if err := json.NewDecoder(limited).Decode(response); err != nil {
		return transportError(errors.Wrap(err, "decode key-value response"), true, e)
	}
	return nil
}

// send returns a response with status 200, or one of the errors of package kv.
func (s *Store) send(ctx context.Context, e effect, url string, request any) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := sling.New().Post(url).BodyJSON(request).Request()
	if err != nil {
		return nil, errors.Wrap(err, "cannot build key-value request: check the endpoints")
	}
	response, err := s.client.Do(httpRequest.WithContext(ctx))
	if err != nil {
		return nil, transportError(err, connected.Load(), e)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, transportError(err, true, e)
	}
	return nil, decodeErrorResponse(body).asError(response.StatusCode, e)
}
