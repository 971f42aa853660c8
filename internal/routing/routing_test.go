package routing

import (
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
)

func route(host, prefix string) *Route {
	return &Route{Name: host + prefix, Host: host, Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}}
}

func TestMatchReturnsLongestPrefix(t *testing.T) {
	table := NewTable(Options{Routes: []*Route{
		route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/"),
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "a.example/x/y/"},
		{"A.Example", "/x/y/z", "a.example/x/y/"},
		{"a.example:8080", "/x/y", "a.example/x/"},
		{"a.example", "/xy", "a.example/"},
		{"b.example", "/x/", "b.example/x/"},
		{"b.example", "/", ""},
		{"b.example", "/x", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	}
	for _, tc := range cases {
		got, err := table.Match(tc.host, tc.path)
		if tc.want == "" {
			if !errors.Is(err, ErrNoRoute) {
				t.Errorf("%s%s: got %v, %v", tc.host, tc.path, got, err)
			}
			continue
		}
		if err != nil || got.Name != tc.want {
			t.Errorf("%s%s: got %v, %v, want %s", tc.host, tc.path, got, err, tc.want)
		}
	}
}

// Match looks up the prefixes of the path one by one; it must find the same route as
// a search through all routes.
func TestMatchEqualsLinearSearch(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	segment := gen.OneConstOf("a", "b", "ab", "")
	properties.Property("the longest of all prefixes", prop.ForAll(
		func(prefixes [][]string, path []string) bool {
			var routes []*Route
			for _, p := range prefixes {
				routes = append(routes, route("h", "/"+strings.Join(append(p, ""), "/")))
			}
			target := "/" + strings.Join(path, "/")
			got, err := NewTable(Options{Routes: routes}).Match("h", target)
			want := ""
			for _, r := range routes {
				if strings.HasPrefix(target, r.Prefix) && len(r.Prefix) > len(want) {
					want = r.Prefix
				}
			}
			return want == "" && err != nil || err == nil && got.Prefix == want
		},
		gen.SliceOf(gen.SliceOf(segment)), gen.SliceOf(segment),
	))
	properties.TestingRun(t)
}

func TestWorkspaces(t *testing.T) {
	one := 1
	quiet := &Workspace{Name: "quiet"}
	table := NewTable(Options{KeysRequired: true, Keys: map[string]*Workspace{"k": quiet, "p": {Name: "prior", Priority: &one}}})
	closed, open := &Route{Priority: 3}, &Route{Anonymous: true, Priority: 3}
	if w, err := table.Workspace(closed, "k"); err != nil || w != quiet {
		t.Errorf("known key: %v, %v", w, err)
	}
	for _, key := range []string{"", "other"} {
		if _, err := table.Workspace(closed, key); !errors.Is(err, ErrUnknownKey) {
			t.Errorf("key %q: %v", key, err)
		}
		if w, err := table.Workspace(open, key); err != nil || w != nil {
			t.Errorf("key %q on an anonymous route: %v, %v", key, w, err)
		}
	}
	if w, _ := table.Workspace(open, "p"); Priority(open, w) != one {
		t.Error("a workspace's priority doesn't override the route's")
	}
	if Priority(open, quiet) != 3 || Priority(open, nil) != 3 {
		t.Error("a workspace without a priority doesn't keep the route's")
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	const keys = 5000
	for i := range keys {
		key := strings.Repeat("k", i%7) + string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		service := r.Service(key)
		if service != r.Service(key) {
			t.Fatal("equal keys go to different services")
		}
		counts[service]++
	}
	if counts["c"] != 0 || counts["b"] < keys/20 || counts["b"] > keys/5 {
		t.Errorf("calls by service: %v", counts)
	}
}

func TestRepeatable(t *testing.T) {
	for _, tc := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: NonIdempotent}, false}, {Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Idempotent}, true}, {Route{Kind: Streaming}, false}, {Route{Kind: Streaming, Resumable: true}, true},
	} {
		if got := tc.route.Repeatable(); got != tc.want {
			t.Errorf("%+v: %v", tc.route, got)
		}
	}
}
