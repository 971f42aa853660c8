package callers

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const pathServices = "/v1/services/"

// maxServiceResponseBytes is the size at which the response body of a service call
// is cut off.
const maxServiceResponseBytes = 16 << 20

// ServiceCall is one call of a service.
type ServiceCall struct {
	Workspace string
	Service   string
	Method    string
	// Path starts with a slash.
	Path string
	Body []byte
	// ActionKey is the idempotency key of a non-idempotent call, a UUID version
	// 7. Every resend of the action carries the same key.
	ActionKey string
	// AvoidRouter is the address of a router to use only if no other is left.
	AvoidRouter string
}

// ServiceResult is the result of a service call.
type ServiceResult struct {
	// Status and Body are those of the service's response.
	Status int
	Body   []byte
	// Outcome is what is known about the execution of the call.
	Outcome refusal.Outcome
	// Router is the address of the last router used.
	Router   string
	Attempts int
	// LostConnections counts the connections that failed or timed out before the
	// caller's deadline.
	LostConnections int
	Latency         time.Duration
}

// Call sends one service call and returns the service's response. Outcome is set
// even if Call returns an error: NotRun if the call was never sent or the last
// response is a refusal that says so, Unknown if the response was lost.
func (c *Client) Call(ctx context.Context, call ServiceCall) (*ServiceResult, error) {
	s := &serviceSession{
		client: c, call: call, result: &ServiceResult{Outcome: refusal.NotRun},
		route: route{client: c, key: addressKey{Workspace: call.Workspace, Service: call.Service}},
	}
	started := time.Now()
	err := retryUntilDone(ctx, &s.route, s.attempt)
	s.result.Latency = time.Since(started)
	return s.result, err
}

type serviceSession struct {
	client *Client
	call   ServiceCall
	route  route
	result *ServiceResult
}

func (s *serviceSession) attempt(ctx context.Context, router string) error {
	if router == s.call.AvoidRouter && len(s.route.addresses) > 1 {
		s.route.addresses = s.route.addresses[1:]
		router = s.route.addresses[0]
	}
	watchdog, watched := newWatchdog(ctx, &s.client.settings)
	defer watchdog.stop()
	request, err := s.request(watched, router)
	if err != nil {
		return err
	}
	s.result.Attempts++
	s.result.Router = router
	err = s.exchange(request, watchdog)
	if errors.Is(err, ErrConnectionLost) && ctx.Err() == nil {
		s.result.LostConnections++
	}
	s.result.Outcome = nextOutcome(s.result.Outcome, err)
	return err
}

// nextOutcome returns what is known about the execution after an attempt. Once a
// response was lost, only a later response of the fleet can settle the outcome.
func nextOutcome(before refusal.Outcome, err error) refusal.Outcome {
	var r *refusal.Refusal
	switch {
	case err == nil:
		return refusal.Done
	case errors.As(err, &r):
		return r.Outcome
	case errors.Is(err, ErrNotConnected):
		return before
	default:
		return refusal.Unknown
	}
}

func (s *serviceSession) request(ctx context.Context, router string) (*http.Request, error) {
	target := baseURL(router) + pathServices + s.call.Service + s.call.Path
	request, err := http.NewRequestWithContext(ctx, s.call.Method, target, bytes.NewReader(s.call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "service request")
	}
	request.Header.Set(HeaderWorkspace, s.call.Workspace)
	setOptional(request.Header, HeaderActionKey, s.call.ActionKey)
	if len(s.call.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	setTimeout(ctx, request.Header)
	return request, nil
}

// exchange sends the request and reads the response.
func (s *serviceSession) exchange(request *http.Request, w *watchdog) error {
	response, err := s.client.http.Do(request)
	if err != nil {
		return connectionError(err)
	}
	defer func() { _ = response.Body.Close() }()
	s.route.checkMoveTo(response)
	if isRefusal(response) {
		return readRefusal(response)
	}
	body, err := io.ReadAll(io.LimitReader(w.reader(response.Body), maxServiceResponseBytes))
	if err != nil {
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
	s.result.Status = response.StatusCode
	s.result.Body = body
	return nil
}

// isRefusal reports whether a response is a refusal by the fleet and not the
// service's response.
func isRefusal(response *http.Response) bool {
	outcome := response.Header.Get(HeaderOutcome)
	return outcome != "" && outcome != string(refusal.Done)
}
