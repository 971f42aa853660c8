package hostlist

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// One odd entry in the platform's list must not hide the other hosts.
func TestOddEntriesAreSkipped(t *testing.T) {
	host := func(name, address string) string {
		return fmt.Sprintf(`{"name":%q,"kind":"engine","address":%q,"state":"live"}`, name, address)
	}
	odd := []string{
		host("", "10.0.0.1:80"), host("a\nb", "10.0.0.1:80"), host("a", "10.0.0.1:0"), host("a", "10.0.0.1:65536"), host("a", "0.0.0.0:80"),
		host("a", "nowhere"), `{"name":7}`, `null`, `[]`, `1e999`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		`{"name":"a","kind":"other","address":"10.0.0.1:80","state":"live"}`, `{"name":"a","kind":"engine","address":"10.0.0.1:80","state":"gone"}`,
		`{"name":"a","kind":"router","address":"10.0.0.1:80","peer_address":"10.0.0.1:99999","state":"live"}`,
		`{"name":"` + strings.Repeat("x", 100_000) + `","kind":"engine"}`,
	}
	list := append([]string{host("first", "10.0.0.1:80")}, append(odd, host("last", "10.0.0.2:80"))...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"hosts":[%s]}`, strings.Join(list, ","))
	}))
	defer server.Close()
	result, err := NewClient(server.URL, "r", server.Client()).Poll(context.Background())
	if err != nil || len(result.Hosts) != 2 || result.Hosts[0].Name != "first" || result.Hosts[1].Name != "last" {
		t.Fatalf("%+v, %v", result.Hosts, err)
	}
	if result.Skipped != len(odd) || result.Problem == "" || len(result.Problem) > maxProblemBytes {
		t.Errorf("%d entries skipped, problem of %d bytes; want %d", result.Skipped, len(result.Problem), len(odd))
	}
}
