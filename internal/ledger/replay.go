package ledger

// loaded takes the slot over: it replays the journal and processes the requests
// that waited for it. The next append fences the former holder.
func (l *Ledger) loaded(ev Loaded) {
	if l.phase != phaseLoading {
		return
	}
	l.phase = phaseOpen
	l.recordSuccess()
	l.journal = newJournal()
	l.journal.nonce = ev.Nonce
	l.journal.head = ev.Head
	l.journal.confirmed = l.loadSent
	for _, s := range ev.Segments {
		l.journal.addSegment(s)
		l.replay(s.Segment.Records)
	}
	l.sweepExpired()
	l.admitAwaiting()
}

// replay applies the records of one segment. A claim without an outcome was made
// by a former holder, so its action may or may not have run.
func (l *Ledger) replay(records []Record) {
	for _, r := range records {
		e := l.entries[r.Key]
		if e != nil && (e.state == stateRunning || l.queue.has(r.Key)) {
			continue
		}
		e = &entry{fingerprint: r.Fingerprint}
		switch r.Kind {
		case RecordAnswer:
			e.state = stateAnswered
			e.result = r.Result
			l.results.add(r.Key, e)
		case RecordRelease:
			e.state = stateReleased
		default:
			e.state = stateUnconfirmed
		}
		l.entries[r.Key] = e
	}
}

// loadFailed refuses the waiting requests if there is a given reason or an
// outage; otherwise they wait for the next load.
func (l *Ledger) loadFailed(ev LoadFailed) {
	if l.phase != phaseLoading {
		return
	}
	l.phase = phaseClosed
	l.recordFailure(ev.RateLimited)
	reason := ev.Reason
	if reason == nil {
		reason = refusalOutage(l.untilRetry())
		if !l.outage() {
			return
		}
	}
	arrivals := l.awaitingLoad
	l.awaitingLoad = nil
	for _, a := range arrivals {
		l.refuse(a.Request, l.actionRefusal(a, reason))
	}
}

func (l *Ledger) admitAwaiting() {
	arrivals := l.awaitingLoad
	l.awaitingLoad = nil
	for _, a := range arrivals {
		l.arrive(a)
	}
}
