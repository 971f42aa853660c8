package router

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/serving"
)

// maxNameBytes bounds the names that callers send in headers.
const maxNameBytes = 256

// callInfo is the metadata of a call, from its headers.
type callInfo struct {
	requestID string
	workspace string
	chat      string
	priority  fleet.Priority
	timeout   time.Duration
}

// readInfo reads and validates the headers that all calls share.
func (s *Server) readInfo(r *http.Request) (callInfo, *refusal.Refusal) {
	info := callInfo{requestID: uuid.NewString(), timeout: s.settings.DefaultTimeout.Std()}
	info.workspace = r.Header.Get(HeaderWorkspace)
	info.chat = r.Header.Get(HeaderChat)
	if info.workspace == "" {
		return info, refusal.New(refusal.UnknownWorkspace, "header "+HeaderWorkspace+" is missing: name the workspace")
	}
	if len(info.workspace) > maxNameBytes || len(info.chat) > maxNameBytes {
		return info, refusal.New(refusal.HeadersTooLarge, "a name in the headers is longer than 256 bytes: shorten it")
	}
	if refused := s.readTimeout(r, &info); refused != nil {
		return info, refused
	}
	return info, s.readPriority(r, &info)
}

func (s *Server) readTimeout(r *http.Request, info *callInfo) *refusal.Refusal {
	text := r.Header.Get(HeaderTimeoutMS)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseUint(text, 10, 31)
	if err != nil || millis == 0 {
		return refusal.New(refusal.BadRequest, HeaderTimeoutMS+" is no positive number of milliseconds: correct it")
	}
	info.timeout = min(time.Duration(millis)*time.Millisecond, s.settings.MaxTimeout.Std())
	return nil
}

// readPriority sets the workspace's priority, or a lower one that the caller
// requests.
func (s *Server) readPriority(r *http.Request, info *callInfo) *refusal.Refusal {
	highest := fleet.PriorityNormal
	if snapshot := s.config(); snapshot != nil {
		if workspace := snapshot.Workspaces[info.workspace]; workspace != nil {
			highest = workspace.Priority
		}
	}
	info.priority = highest
	text := r.Header.Get(HeaderPriority)
	if text == "" {
		return nil
	}
	requested, ok := fleet.ParsePriority(text)
	if !ok {
		return refusal.New(refusal.BadRequest, HeaderPriority+" must be low, normal or high")
	}
	info.priority = min(requested, highest)
	return nil
}

// readBody reads the complete body within the limits of size, time and memory.
// The returned function releases the reserved memory.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), *refusal.Refusal) {
	size := r.ContentLength
	if size < 0 {
		size = s.settings.MaxBodyBytes
	}
	if size > s.settings.MaxBodyBytes {
		closeAfterRefusal(w, r)
		return nil, nil, s.bodyTooLarge()
	}
	if !s.bodies.TryAcquire(size) {
		return nil, nil, refusal.New(refusal.Overloaded, "too many request bodies are held: retry after the given time").
			WithRetryAfter(defaultRetryAfter)
	}
	release := func() { s.bodies.Release(size) }
	body, err := s.readLimited(w, r)
	if err != nil {
		release()
		if errors.Is(context.Cause(r.Context()), serving.ErrStopping) {
			return nil, nil, refusal.NewLeaving()
		}
		return nil, nil, s.bodyError(err)
	}
	return body, release, nil
}

// closeAfterRefusal makes the server close the connection after the refusal, in a
// way that lets a caller that is still sending its body read the refusal first.
func closeAfterRefusal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	_, _ = http.MaxBytesReader(w, r.Body, 0).Read(make([]byte, 1))
}

func (s *Server) readLimited(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout.Std()))
	stop := context.AfterFunc(r.Context(), func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	stop()
	if err != nil {
		// Without this header the server reads the rest of the body before it
		// sends the response.
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func (s *Server) bodyError(err error) *refusal.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return s.bodyTooLarge()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal.New(refusal.SlowRequest, "the body didn't arrive in time: send it without pauses")
	}
	return refusal.New(refusal.BadRequest, "the body is incomplete: "+err.Error())
}

func (s *Server) bodyTooLarge() *refusal.Refusal {
	limit := strconv.FormatInt(s.settings.MaxBodyBytes, 10)
	return refusal.New(refusal.BodyTooLarge, "the body exceeds "+limit+" bytes: shorten it")
}
