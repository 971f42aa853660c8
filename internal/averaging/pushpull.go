package averaging

// pushPull is the state of push-pull averaging in one router.
type pushPull struct {
	epoch uint32
	// round counts the rounds of this epoch; rounds is its length.
	round, rounds int
	local         loads
	// base is the local load that entered this epoch.
	base     loads
	estimate loads
	// settled is the result of the last finished epoch, and settledBase the
	// local load that entered it.
	settled, settledBase loads
}

func newPushPull() *pushPull {
	p := &pushPull{local: loads{}, settled: loads{}, settledBase: loads{}}
	p.restart(directEpoch + 1)
	return p
}

func (p *pushPull) setLocal(list []PoolLoad) { p.local = loadsOf(list) }

// restart begins an epoch from the local load.
func (p *pushPull) restart(epoch uint32) {
	if epoch == directEpoch {
		epoch++
	}
	p.epoch = epoch
	p.round = 0
	p.base = p.local.clone()
	p.estimate = p.local.clone()
}

// settle keeps the estimate as a result if the epoch ran for long enough.
func (p *pushPull) settle() {
	if 2*p.round >= p.rounds {
		p.settled, p.settledBase = p.estimate, p.base
	}
}

// advance counts a round and ends the epoch after its last.
func (p *pushPull) advance(hosts int) {
	p.rounds = roundsFor(hosts) * p.parts()
	p.round++
	if p.round > p.rounds {
		p.settle()
		p.restart(p.epoch + 1)
	}
}

// message returns the estimates to exchange in this round: all, or the next
// part of them when there are more than a message holds.
func (p *pushPull) message() Message {
	list := p.estimate.list()
	parts := p.parts()
	part := p.round % parts
	return Message{Epoch: p.epoch, Pools: list[part*len(list)/parts : (part+1)*len(list)/parts]}
}

// parts returns the number of messages that hold all estimates.
func (p *pushPull) parts() int {
	return max(1, (len(p.estimate)+maxPools-1)/maxPools)
}

// answerTo returns the estimates of the pools that a message names.
func (p *pushPull) answerTo(m Message) Message {
	answer := Message{Epoch: p.epoch}
	for _, l := range m.Pools {
		answer.Pools = append(answer.Pools, PoolLoad{Pool: l.Pool, InFlight: p.estimate[l.Pool]})
	}
	return answer
}

// joinNewer moves to an epoch that others have begun.
func (p *pushPull) joinNewer(epoch uint32) {
	if !newer(epoch, p.epoch) {
		return
	}
	p.settle()
	p.restart(epoch)
}

// receive answers a message and moves the estimates of its pools half way to
// it. A message
// of an older epoch only gets the answer, from which its sender learns of the
// newer one.
func (p *pushPull) receive(m Message) Message {
	p.joinNewer(m.Epoch)
	answer := p.answerTo(m)
	if m.Epoch == p.epoch {
		p.moveHalfWay(loadsOf(answer.Pools), loadsOf(m.Pools))
	}
	return answer
}

// complete moves the estimate by what the other router moved, with the sign
// turned, so that the sum over both stays the same even if the estimate has
// changed since it was sent.
func (p *pushPull) complete(sent, answer Message) {
	p.joinNewer(answer.Epoch)
	if answer.Epoch == p.epoch && sent.Epoch == p.epoch {
		p.moveHalfWay(loadsOf(sent.Pools), loadsOf(answer.Pools))
	}
}

func (p *pushPull) moveHalfWay(from, to loads) {
	const half = 0.5
	p.estimate.addScaled(to, half)
	p.estimate.addScaled(from, -half)
}

// means returns the last result, corrected by what has changed here since.
func (p *pushPull) means(hosts int) loads {
	share := 1 / float64(max(hosts, 1))
	out := p.settled.clone()
	out.addScaled(p.local, share)
	out.addScaled(p.settledBase, -share)
	for pool, inFlight := range out {
		out[pool] = max(inFlight, 0)
	}
	return out
}

// newer reports whether epoch a was begun after b; the numbers wrap around.
func newer(a, b uint32) bool { return int32(a-b) > 0 }
