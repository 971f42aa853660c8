package hostserver

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Faults are the faults that can be set on the list. The zero value has none.
type Faults struct {
	// Outage makes every poll fail.
	Outage standin.Outage `json:"outage"`
	// DelayMS is added before each response, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Frozen makes pollers see the list as it was when the fault was set.
	Frozen bool `json:"frozen"`
	// Views hides hosts from some pollers.
	Views []View `json:"views"`
	// Flaps makes hosts alternate between present and absent.
	Flaps []Flap `json:"flaps"`
}

// View hides hosts from some of the pollers. A poller is identified by its
// query parameter poller, or else by its remote address and port.
type View struct {
	// Poller is the only poller that the view applies to. When it is empty, the
	// view applies to the pollers whose hash is odd, about half of them.
	Poller string `json:"poller"`
	// Hide lists the names of the hidden hosts.
	Hide []string `json:"hide"`
}

// Flap makes one host absent in every second period.
type Flap struct {
	Host     string `json:"host"`
	PeriodMS int64  `json:"period_ms"`
}

// appliesTo reports whether a view applies to a poller.
func (v View) appliesTo(poller string) bool {
	if v.Poller != "" {
		return v.Poller == poller
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(poller))
	return digest.Sum32()%2 == 1
}

// absent reports whether a flapping host is absent at a time.
func (f Flap) absent(now time.Time) bool {
	return f.PeriodMS > 0 && (now.UnixMilli()/f.PeriodMS)%2 == 1
}

// hides reports whether the faults hide a host from a poller.
func (f Faults) hides(host, poller string, now time.Time) bool {
	for _, view := range f.Views {
		if view.appliesTo(poller) && slices.Contains(view.Hide, host) {
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

// filter returns the hosts that are visible to a poller.
func (f Faults) filter(hosts []hostlist.Host, poller string, now time.Time) []hostlist.Host {
	visible := make([]hostlist.Host, 0, len(hosts))
	for _, host := range hosts {
		if !f.hides(host.Name, poller, now) {
			visible = append(visible, host)
		}
	}
	return visible
}
