package router

import (
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
	"github.com/verbenatrail/verbenatrail/internal/serviceclient"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// actionKeyVersion is the UUID version of action keys. Version 7 contains the
// time of issue.
const actionKeyVersion = 7

func (s *Server) serveService(w http.ResponseWriter, r *http.Request, info callInfo) {
	name, target := splitServicePath(r)
	service, refused := s.service(info.workspace, name)
	if refused != nil {
		s.refuse(w, info, refusalBeforeJournal(r, refused))
		return
	}
	if refused := target.check(); refused != nil {
		s.refuse(w, info, refused)
		return
	}
	body, release, refused := s.readBody(w, r)
	if refused != nil {
		s.refuse(w, info, refusalBeforeJournal(r, refused))
		return
	}
	defer release()
	request := &peerpb.ServiceCall{Service: name, Method: r.Method, Path: target.escaped, Headers: callHeaders(r), Body: body}
	if service.Idempotent(r.Method, target.decoded) {
		s.serveIdempotent(w, r, info, request)
		return
	}
	s.serveAction(w, r, info, request)
}

// refusalBeforeJournal adjusts a refusal that is sent before the action's journal
// was read. If a request has an action key and the refusal is transient, it is a
// possible resend, and an earlier request with the key may have run: the outcome
// is unknown.
func refusalBeforeJournal(r *http.Request, refused *refusal.Refusal) *refusal.Refusal {
	transient := refused.RetryAfter > 0 || refused.Kind == refusal.SlowRequest
	if r.Header.Get(HeaderActionKey) == "" || !transient {
		return refused
	}
	return refused.AsUnknown()
}

// servicePath is the part of a call's URL after the service's name.
type servicePath struct {
	// escaped is sent to the instance, with the query.
	escaped string
	// decoded is matched against the declared patterns, without the query.
	decoded string
}

// splitServicePath returns the service's name and the path after it.
func splitServicePath(r *http.Request) (string, servicePath) {
	name, escaped, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathServices), "/")
	_, decoded, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, PathServices), "/")
	target := servicePath{escaped: "/" + escaped, decoded: "/" + decoded}
	if r.URL.RawQuery != "" {
		target.escaped += "?" + r.URL.RawQuery
	}
	return name, target
}

// check refuses dot segments and empty segments: an instance could resolve such a
// path to another one than the declared patterns were matched against.
func (p servicePath) check() *refusal.Refusal {
	trimmed := strings.TrimSuffix(p.decoded, "/")
	if trimmed != "" && path.Clean(trimmed) != trimmed {
		return refusal.New(refusal.BadRequest, "the path has empty or dot segments: send it in its shortest form")
	}
	return nil
}

func (s *Server) service(workspace, name string) (*fleet.Service, *refusal.Refusal) {
	snapshot := s.config()
	if snapshot == nil {
		return nil, refusal.New(refusal.NoConfiguration, "this router has no configuration yet: retry after the given time").
			WithRetryAfter(defaultRetryAfter)
	}
	if snapshot.Workspaces[workspace] == nil {
		return nil, refusal.New(refusal.UnknownWorkspace, "workspace "+workspace+" is not declared: check "+HeaderWorkspace)
	}
	service := snapshot.Services[name]
	if service == nil {
		return nil, refusal.New(refusal.UnknownService, "service "+name+" is not declared: check the path")
	}
	return service, nil
}

func (s *Server) serveIdempotent(w http.ResponseWriter, r *http.Request, info callInfo, request *peerpb.ServiceCall) {
	deadline, _ := r.Context().Deadline()
	answer := &serviceWriter{w: w, method: r.Method}
	refused := s.relay.Serve(r.Context(), relay.Call{
		RequestID: info.requestID, Workspace: info.workspace, AffinityKey: info.requestID,
		Target: request.GetService(), Kind: fleet.KindService, Priority: info.priority, Deadline: deadline,
		Fingerprint: call.Fingerprint(request.GetBody(), info.workspace, request.GetMethod(), request.GetPath()),
		Traceparent: telemetry.Traceparent(r.Context()), Service: request,
	}, answer)
	if refused == nil {
		return
	}
	if answer.started {
		// The status has been sent: the caller can only be told by closing the
		// connection, before the length that the head names.
		panic(http.ErrAbortHandler)
	}
	s.refuse(w, info, refused)
}

func (s *Server) serveAction(w http.ResponseWriter, r *http.Request, info callInfo, request *peerpb.ServiceCall) {
	key, refused := actionKey(r)
	if refused != nil {
		s.refuse(w, info, refused)
		return
	}
	result, refused := s.actions.RunAction(r.Context(), &peerpb.ActionRequest{
		RequestId: info.requestID, Workspace: info.workspace, ActionKey: key.String(), Call: request,
		ConfigRevision: s.config().Revision, TimeoutMs: uint32(info.timeout.Milliseconds()),
		Traceparent: telemetry.Traceparent(r.Context()),
	})
	if refused != nil {
		s.refuse(w, info, refused)
		return
	}
	writeAction(w, r.Method, result)
}

func actionKey(r *http.Request) (uuid.UUID, *refusal.Refusal) {
	text := r.Header.Get(HeaderActionKey)
	if text == "" {
		return uuid.Nil, refusal.New(refusal.ActionKeyMissing,
			"this call may not be repeated and needs "+HeaderActionKey+": send a UUID version 7 and keep it for resends")
	}
	key, err := uuid.Parse(text)
	if err != nil || key.Version() != actionKeyVersion {
		return uuid.Nil, refusal.New(refusal.ActionKeyInvalid, HeaderActionKey+" is no UUID version 7: make a new one for each action")
	}
	return key, nil
}

func writeAction(w http.ResponseWriter, method string, result *peerpb.ActionResult) {
	copyHeaders(w.Header(), result.GetHeaders())
	w.Header().Set(HeaderOutcome, string(refusal.Done))
	if result.GetReplayed() {
		w.Header().Set(HeaderReplayed, "true")
	}
	if result.GetBodyOmitted() {
		w.Header().Set(HeaderBodyOmitted, "true")
	}
	// An error means that the caller has disconnected.
	_ = writeWhole(w, method, int(result.GetStatus()), result.GetBody())
}

// writeWhole writes the head and body of a response with its length, by which a caller
// recognizes an incomplete one in every version of HTTP.
func writeWhole(w http.ResponseWriter, method string, status int, body []byte) error {
	if method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	if len(body) == 0 || method == http.MethodHead {
		return nil
	}
	_, err := w.Write(body)
	return err
}

// callHeaders returns the caller's end-to-end headers without those for routers.
func callHeaders(r *http.Request) []*peerpb.Header {
	header := r.Header.Clone()
	for _, name := range []string{HeaderWorkspace, HeaderChat, HeaderPriority, HeaderTimeoutMS} {
		header.Del(name)
	}
	return serviceclient.EndToEndHeaders(header)
}

func copyHeaders(to http.Header, headers []*peerpb.Header) {
	for _, header := range headers {
		to.Add(header.GetName(), header.GetValue())
	}
}

// maxServiceBytes bounds the body of a service's response in bytes. No setting of an owner
// allows more.
const maxServiceBytes = 8_000_000

var errServiceBodyTooLong = errors.Errorf("the response of a service has more than %d bytes", maxServiceBytes)

// serviceWriter writes the response of an idempotent call to a service, once it is complete:
// the owner has read all of it before it sends the head.
type serviceWriter struct {
	w      http.ResponseWriter
	method string
	head   *peerpb.ResponseHead
	body   []byte
	// started is set once the head is written.
	started bool
}

// WriteHead implements relay.AnswerWriter.
func (a *serviceWriter) WriteHead(head *peerpb.ResponseHead) error {
	a.head = head
	return nil
}

// WriteToken implements relay.AnswerWriter.
func (a *serviceWriter) WriteToken(relay.Position, string) error {
	return errTokenInService
}

// WriteBody implements relay.AnswerWriter.
func (a *serviceWriter) WriteBody(data []byte) error {
	if len(a.body)+len(data) > maxServiceBytes {
		return errServiceBodyTooLong
	}
	a.body = append(a.body, data...)
	return nil
}

// End implements relay.AnswerWriter.
func (a *serviceWriter) End(*peerpb.AnswerEnd) error {
	a.started = true
	copyHeaders(a.w.Header(), a.head.GetHeaders())
	a.w.Header().Set(HeaderUpstream, a.head.GetUpstream())
	return writeWhole(a.w, a.method, int(a.head.GetStatus()), a.body)
}
