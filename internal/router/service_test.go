package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// A router that refuses before it has read the journal must not report an action
// as not run if an earlier request with its key may have run.
func TestOutcomeOfRefusalsBeforeTheJournal(t *testing.T) {
	cases := []struct {
		name    string
		key     string
		refused *refusal.Refusal
		want    refusal.Outcome
	}{
		{"no key", "", refusal.New(refusal.Overloaded, "").WithRetryAfter(time.Second), refusal.NotRun},
		{"transient", "k", refusal.New(refusal.NoConfiguration, "").WithRetryAfter(time.Second), refusal.Unknown},
		{"slow", "k", refusal.New(refusal.SlowRequest, ""), refusal.Unknown},
		{"for its content", "k", refusal.New(refusal.BodyTooLarge, ""), refusal.NotRun},
	}
	for _, tc := range cases {
		r := &http.Request{Header: http.Header{}}
		r.Header.Set(HeaderActionKey, tc.key)
		if got := refusalBeforeJournal(r, tc.refused).Outcome; got != tc.want {
			t.Errorf("%s: outcome %q, want %q", tc.name, got, tc.want)
		}
	}
}
