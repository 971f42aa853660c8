package averaging

// pushPull is the push-pull averaging state of one router.
type pushPull struct {
	epoch uint32
	// round counts the rounds of this epoch; rounds is the epoch's length.
	round, rounds int
	local         loads
	// base is the local load at the start of this epoch.
	base     loads
	estimate loads
	// result is the estimate of the last completed epoch, and resultBase the
	// local load at its start.
	result, resultBase loads
}

func newPushPull() *pushPull {
	p := &pushPull{local: loads{}, result: loads{}, resultBase: loads{}}
	p.restart(directEpoch + 1)
	return p
}

func (p *pushPull) setLocal(list []PoolLoad) { p.local = loadsOf(list) }

// restart begins an epoch with the local load as the estimate.
func (p *pushPull) restart(epoch uint32) {
	if epoch == directEpoch {
		epoch++
	}
	p.epoch = epoch
	p.round = 0
	p.base = p.local.clone()
	p.estimate = p.local.clone()
}

// saveResult keeps the estimate as the result if the epoch ran for at least half
// of its rounds.
func (p *pushPull) saveResult() {
	if 2*p.round >= p.rounds {
		p.result, p.resultBase = p.estimate, p.base
	}
}

// advance counts a round and starts the next epoch after the last round.
func (p *pushPull) advance(routers int) {
	p.rounds = roundsPerEpoch(routers) * p.parts()
	p.round++
	if p.round > p.rounds {
		p.saveResult()
		p.restart(p.epoch + 1)
	}
}

// message returns the estimates to exchange in this round: all of them, or the
// next part if they do not fit into one message.
func (p *pushPull) message() Message {
	list := p.estimate.list()
	parts := p.parts()
	part := p.round % parts
	return Message{Epoch: p.epoch, Pools: list[part*len(list)/parts : (part+1)*len(list)/parts]}
}

// parts returns the number of messages needed for all estimates.
func (p *pushPull) parts() int {
	return max(1, (len(p.estimate)+maxPools-1)/maxPools)
}

// replyTo returns the estimates of the pools that a message names.
func (p *pushPull) replyTo(m Message) Message {
	reply := Message{Epoch: p.epoch}
	for _, l := range m.Pools {
		reply.Pools = append(reply.Pools, PoolLoad{Pool: l.Pool, InFlight: p.estimate[l.Pool]})
	}
	return reply
}

// joinNewer switches to an epoch that other routers have begun if it is newer.
func (p *pushPull) joinNewer(epoch uint32) {
	if !newer(epoch, p.epoch) {
		return
	}
	p.saveResult()
	p.restart(epoch)
}

// receive returns the reply to a message and moves the estimates of its pools
// halfway to the message's. A message of an older epoch changes no estimate; its
// sender learns of the newer epoch from the reply.
func (p *pushPull) receive(m Message) Message {
	p.joinNewer(m.Epoch)
	reply := p.replyTo(m)
	if m.Epoch == p.epoch {
		p.moveHalfway(loadsOf(reply.Pools), loadsOf(m.Pools))
	}
	return reply
}

// complete changes the estimate by the opposite of the other router's change, so
// that the sum over both routers is preserved even if the estimate has changed
// since it was sent.
func (p *pushPull) complete(sent, reply Message) {
	p.joinNewer(reply.Epoch)
	if reply.Epoch == p.epoch && sent.Epoch == p.epoch {
		p.moveHalfway(loadsOf(sent.Pools), loadsOf(reply.Pools))
	}
}

func (p *pushPull) moveHalfway(from, to loads) {
	const half = 0.5
	p.estimate.addScaled(to, half)
	p.estimate.addScaled(from, -half)
}

// means returns the last result, adjusted for the change of the local load since
// the start of that epoch.
func (p *pushPull) means(routers int) loads {
	share := 1 / float64(max(routers, 1))
	out := p.result.clone()
	out.addScaled(p.local, share)
	out.addScaled(p.resultBase, -share)
	for pool, inFlight := range out {
		out[pool] = max(inFlight, 0)
	}
	return out
}

// newer reports whether epoch a began after epoch b; the numbers wrap around.
func newer(a, b uint32) bool { return int32(a-b) > 0 }
