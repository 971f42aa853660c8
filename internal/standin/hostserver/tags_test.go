package hostserver

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

func poll(t *testing.T, s *Server, tag string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(http.MethodGet, hostlist.Path, nil)
	request.Header.Set("If-None-Match", tag)
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	return recorder
}

func TestUnchangedListIsNotSentAgainWithEntityTags(t *testing.T) {
	host := hostlist.Host{Name: "router-1", Kind: hostlist.KindRouter}
	s := New(Config{Hosts: []hostlist.Host{host}, EntityTags: true})
	first := poll(t, s, "")
	tag := first.Header().Get("ETag")
	if first.Code != http.StatusOK || tag == "" {
		t.Fatalf("first poll: status %d, tag %q", first.Code, tag)
	}
	if again := poll(t, s, tag); again.Code != http.StatusNotModified || again.Body.Len() != 0 {
		t.Errorf("unchanged list: status %d with %d bytes", again.Code, again.Body.Len())
	}
	host.State = hostlist.StateLeaving
	if err := s.Apply(Change{Change: ChangeSetState, Host: host}); err != nil {
		t.Fatal(err)
	}
	if changed := poll(t, s, tag); changed.Code != http.StatusOK || changed.Header().Get("ETag") == tag {
		t.Errorf("changed list: status %d, tag %q, want status 200 and a new tag", changed.Code, tag)
	}
}

func TestNoEntityTagsByDefault(t *testing.T) {
	s := New(Config{})
	if tag := poll(t, s, "").Header().Get("ETag"); tag != "" {
		t.Errorf("unexpected tag %q", tag)
	}
}
