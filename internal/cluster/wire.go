package cluster

import (
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/averaging"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// maxDatagramBytes is the size up to which membership updates are added to a
// datagram, below the usual path MTU.
const maxDatagramBytes = 1200

// maxReceivedBytes is the size of the longest datagram that UDP carries. A shorter buffer
// would cut datagrams without an error.
const maxReceivedBytes = 64 << 10

const maxStrikesPerDatagram = 2

const maxTrialsPerDatagram = 1

const maxUpdatesPerDatagram = 4

func averagesToProto(m averaging.Message) *peerpb.Averages {
	out := &peerpb.Averages{Epoch: m.Epoch}
	for _, l := range m.Pools {
		out.Pools = append(out.Pools, &peerpb.PoolAverage{Pool: l.Pool, InFlight: float32(l.InFlight)})
	}
	return out
}

func averagesFromProto(p *peerpb.Averages) averaging.Message {
	m := averaging.Message{Epoch: p.GetEpoch()}
	for _, l := range p.GetPools() {
		m.Pools = append(m.Pools, averaging.PoolLoad{Pool: l.GetPool(), InFlight: float64(l.GetInFlight())})
	}
	return m
}

// addUpdate appends a membership update to a datagram, but leaves it out if the
// datagram would be larger than maxDatagramBytes. It then returns false, unless the
// datagram was too large without the update.
func addUpdate(d *peerpb.Datagram, update membership.Update) bool {
	before := proto.Size(d)
	if update.Upstream {
		d.UpstreamStates = append(d.UpstreamStates, &peerpb.UpstreamState{
			Upstream: update.Host, Condition: conditionToProto(update.Condition), Version: update.Version,
		})
	} else {
		d.HostStates = append(d.HostStates, &peerpb.HostState{
			Host: update.Host, Condition: conditionToProto(update.Condition), Incarnation: update.Incarnation,
		})
	}
	if proto.Size(d) <= maxDatagramBytes {
		return true
	}
	removeLastUpdate(d, update)
	return before > maxDatagramBytes
}

func removeLastUpdate(d *peerpb.Datagram, update membership.Update) {
	if update.Upstream {
		d.UpstreamStates = d.UpstreamStates[:len(d.UpstreamStates)-1]
		return
	}
	d.HostStates = d.HostStates[:len(d.HostStates)-1]
}

// updatesOf returns the membership updates in a datagram.
func updatesOf(d *peerpb.Datagram) []membership.Update {
	var out []membership.Update
	for _, s := range d.GetHostStates() {
		if c, ok := conditionFromProto(s.GetCondition()); ok {
			out = append(out, membership.Update{Host: s.GetHost(), Condition: c, Incarnation: s.GetIncarnation()})
		}
	}
	for _, s := range d.GetUpstreamStates() {
		if c, ok := conditionFromProto(s.GetCondition()); ok {
			out = append(out, membership.Update{Host: s.GetUpstream(), Upstream: true, Condition: c, Version: s.GetVersion()})
		}
	}
	return out
}

func conditionToProto(c membership.Condition) peerpb.HostCondition {
	switch c {
	case membership.Alive:
		return peerpb.HostCondition_HOST_CONDITION_ALIVE
	case membership.Suspect:
		return peerpb.HostCondition_HOST_CONDITION_SUSPECT
	case membership.Leaving:
		return peerpb.HostCondition_HOST_CONDITION_LEAVING
	default:
		return peerpb.HostCondition_HOST_CONDITION_FAILED
	}
}

func conditionFromProto(c peerpb.HostCondition) (membership.Condition, bool) {
	switch c {
	case peerpb.HostCondition_HOST_CONDITION_ALIVE:
		return membership.Alive, true
	case peerpb.HostCondition_HOST_CONDITION_SUSPECT:
		return membership.Suspect, true
	case peerpb.HostCondition_HOST_CONDITION_LEAVING:
		return membership.Leaving, true
	case peerpb.HostCondition_HOST_CONDITION_FAILED:
		return membership.Failed, true
	default:
		return membership.Failed, false
	}
}
