package hostserver

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Faults are the switchable faults of the list. The zero value has none.
type Faults struct {
	// Outage fails every poll.
	Outage standin.Outage `json:"outage"`
	// DelayMS is added before each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Frozen keeps the list as it was when the fault was set.
	Frozen bool `json:"frozen"`
	// Views hide hosts from some pollers.
	Views []View `json:"views"`
	// Flaps make hosts come and go.
	Flaps []Flap `json:"flaps"`
}

// View hides hosts from some of the pollers. A poller is known by its query
// parameter poller, or else by its remote address and port.
type View struct {
	// Poller is the one poller that the view is for. When it is empty, the
	// view is for the half of the pollers whose hash is odd.
	Poller string `json:"poller"`
	// Hide are names of hosts.
	Hide []string `json:"hide"`
}

// Flap makes one host absent in every second period.
type Flap struct {
	Host     string `json:"host"`
	PeriodMS int64  `json:"period_ms"`
}

// covers reports whether a view is for a poller.
func (v View) covers(poller string) bool {
	if v.Poller != "" {
		return v.Poller == poller
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(poller))
	return digest.Sum32()%2 == 1
}

// absent reports whether a flapping host is away at a time.
func (f Flap) absent(now time.Time) bool {
	return f.PeriodMS > 0 && (now.UnixMilli()/f.PeriodMS)%2 == 1
}

// hides reports whether the faults keep a host from a poller.
func (f Faults) hides(host, poller string, now time.Time) bool {
	for _, view := range f.Views {
		if view.covers(poller) && slices.Contains(view.Hide, host) {
			return true
		}
	}
	for _, flap := range f.Flaps {
		if flap.Host == host && flap.absent(now) {
			return true
		}
	}
	return false
}

// filter returns the hosts that a poller is shown.
func (f Faults) filter(hosts []hostlist.Host, poller string, now time.Time) []hostlist.Host {
	shown := make([]hostlist.Host, 0, len(hosts))
	for _, host := range hosts {
		if !f.hides(host.Name, poller, now) {
			shown = append(shown, host)
		}
	}
	return shown
}
