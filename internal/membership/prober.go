package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// probe is a probe without an ack so far.
type probe struct {
	target   string
	sequence uint32
	sent     time.Time
	relayed  bool
}

// prober selects targets in a shuffled order, so that each router is probed once
// in as many rounds as there are routers.
type prober struct {
	random   *rand.Rand
	order    []string
	urgent   []string
	pending  []probe
	sequence uint32
	// rounds is the number of rounds started.
	rounds int
}

func newProber(random *rand.Rand) *prober { return &prober{random: random} }

// next removes and returns the next target: urgent targets first, then the
// shuffled order. It skips targets that are not in names and returns false if
// there is none.
func (p *prober) next(names []string) (string, bool) {
	for len(p.urgent) > 0 {
		name := p.urgent[0]
		p.urgent = p.urgent[1:]
		if slices.Contains(names, name) {
			return name, true
		}
	}
	if len(p.order) == 0 {
		p.order = slices.Clone(names)
		p.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}
	for len(p.order) > 0 {
		name := p.order[0]
		p.order = p.order[1:]
		if slices.Contains(names, name) {
			return name, true
		}
	}
	return "", false
}

func (p *prober) enqueueUrgent(name string) {
	if !slices.Contains(p.urgent, name) {
		p.urgent = append(p.urgent, name)
	}
}

// begin records a probe and returns its sequence number.
func (p *prober) begin(now time.Time, target string) uint32 {
	p.sequence++
	p.pending = append(p.pending, probe{target: target, sequence: p.sequence, sent: now})
	return p.sequence
}

// ProbeRound starts a round by probing one router.
func (m *Members) ProbeRound(now time.Time) []Effect {
	m.prober.rounds++
	for _, name := range sortedKeys(m.routers) {
		if m.routers[name].locallySuspected {
			m.prober.enqueueUrgent(name)
		}
	}
	target, ok := m.prober.next(sortedKeys(m.routers))
	if !ok {
		return nil
	}
	sequence := m.prober.begin(now, target)
	return []Effect{{Kind: SendProbe, Host: target, Sequence: sequence}}
}

// ProbeAnswered ends the probe with a sequence number after the target's ack,
// direct or through a relay.
func (m *Members) ProbeAnswered(target string, sequence uint32) {
	m.prober.pending = slices.DeleteFunc(m.prober.pending, func(p probe) bool {
		return p.target == target && p.sequence == sequence
	})
}

// ReportRouter processes the result of using a connection to a router. A failure
// brings the next probe of the router forward.
func (m *Members) ReportRouter(name string, ok bool) {
	if !ok {
		m.prober.enqueueUrgent(name)
	}
}

// tickProbes requests relayed probes for the targets of probes that timed out,
// and suspects the targets whose relayed probes timed out too.
func (m *Members) tickProbes(now time.Time) []Effect {
	var effects []Effect
	var unanswered []probe
	for _, p := range m.prober.pending {
		r, known := m.routers[p.target]
		age := now.Sub(p.sent)
		switch {
		case !known:
		case age < m.settings.ProbeTimeout.Std():
			unanswered = append(unanswered, p)
		case !p.relayed:
			effects = append(effects, m.relayEffects(now, p)...)
			p.relayed = true
			unanswered = append(unanswered, p)
		case age < 2*m.settings.ProbeTimeout.Std():
			unanswered = append(unanswered, p)
		default:
			effects = append(effects, m.suspect(now, r)...)
		}
	}
	m.prober.pending = unanswered
	return effects
}

// relayEffects asks random routers in use to relay a probe.
func (m *Members) relayEffects(now time.Time, p probe) []Effect {
	var vias []string
	for _, name := range sortedKeys(m.routers) {
		if name != p.target && m.routers[name].inUse(now) {
			vias = append(vias, name)
		}
	}
	m.prober.random.Shuffle(len(vias), func(i, j int) { vias[i], vias[j] = vias[j], vias[i] })
	var effects []Effect
	for _, via := range vias[:min(m.settings.RelayCount, len(vias))] {
		effects = append(effects, Effect{Kind: SendRelayedProbe, Host: p.target, Via: via, Sequence: p.sequence})
	}
	return effects
}
