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

// maxServiceAnswerBytes bounds the answer of a service call.
const maxServiceAnswerBytes = 16 << 20

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Workspace string
	Service   string
	Method    string
	// Path starts with a slash.
	Path string
	Body []byte
	// ActionKey is the UUID version 7 of a non-idempotent call; every resend
	// of the action carries the same key.
	ActionKey string
	// AvoidRouter is a router to use only when no other is known.
	AvoidRouter string
}

// ServiceResult is what a caller got.
type ServiceResult struct {
	// Status and Body are the service's own.
	Status int
	Body   []byte
	// Outcome is what the caller knows about the execution of the call.
	Outcome refusal.Outcome
	// Router is the address of the last router used.
	Router   string
	Attempts int
	// LostConnections counts the connections that broke or went silent before the
	// caller's own deadline.
	LostConnections int
	Latency         time.Duration
}

// Call sends one service call and returns the service's answer. Outcome is set
// with an error, too: a call that was never sent, or that the fleet refused as
// not run in its last answer, is NotRun; one whose answer was lost is Unknown.
func (c *Client) Call(ctx context.Context, call ServiceCall) (*ServiceResult, error) {
	s := &serviceSession{
		client: c, call: call, answer: &ServiceResult{Outcome: refusal.NotRun},
		route: route{client: c, key: addressKey{Workspace: call.Workspace, Service: call.Service}},
	}
	started := time.Now()
	err := retryUntilDone(ctx, &s.route, s.attempt)
	s.answer.Latency = time.Since(started)
	return s.answer, err
}

type serviceSession struct {
	client *Client
	call   ServiceCall
	route  route
	answer *ServiceResult
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
	s.answer.Attempts++
	s.answer.Router = router
	err = s.exchange(request, watchdog)
	if errors.Is(err, ErrConnectionLost) && ctx.Err() == nil {
		s.answer.LostConnections++
	}
	s.answer.Outcome = nextOutcome(s.answer.Outcome, err)
	return err
}

// nextOutcome returns what is known after an attempt. Once an answer was lost,
// only the fleet's own statement settles the outcome.
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
	target := base(router) + pathServices + s.call.Service + s.call.Path
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

// exchange sends the request and reads the answer.
func (s *serviceSession) exchange(request *http.Request, w *watchdog) error {
	response, err := s.client.http.Do(request)
	if err != nil {
		return connectionError(err)
	}
	defer func() { _ = response.Body.Close() }()
	s.route.heed(response)
	if isRefusal(response) {
		return readRefusal(response)
	}
	body, err := io.ReadAll(io.LimitReader(w.reader(response.Body), maxServiceAnswerBytes))
	if err != nil {
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
	s.answer.Status = response.StatusCode
	s.answer.Body = body
	return nil
}

// isRefusal tells the fleet's own refusals from the service's answers.
func isRefusal(response *http.Response) bool {
	outcome := response.Header.Get(HeaderOutcome)
	return outcome != "" && outcome != string(refusal.Done)
}
