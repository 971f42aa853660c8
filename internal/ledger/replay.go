package ledger

// loaded takes the slot over: it replays the journal and goes on with the
// requests that waited. The next append fences the former holder.
func (l *Ledger) loaded(ev Loaded) {
	if l.phase != phaseLoading {
		return
	}
	l.phase = phaseOpen
	l.succeeded()
	l.journal = newJournal()
	l.journal.nonce = ev.Nonce
	l.journal.head = ev.Head
	l.journal.confirmed = l.loadSent
	for _, s := range ev.Segments {
		l.journal.note(s)
		l.replay(s.Segment.Records)
	}
	l.dropExpired()
	l.admitArrivals()
}

// replay applies the records of one segment. A claim without an outcome was
// a former holder's: whether it ran can't be known here.
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
			l.results.keep(r.Key, e)
		case RecordRelease:
			e.state = stateReleased
		default:
			e.state = stateUnconfirmed
		}
		l.entries[r.Key] = e
	}
}

// loadFailed refuses the waiting requests once it is an outage.
func (l *Ledger) loadFailed(ev LoadFailed) {
	if l.phase != phaseLoading {
		return
	}
	l.phase = phaseClosed
	l.failed(ev.RateLimited)
	reason := ev.Reason
	if reason == nil {
		reason = refusalOutage(l.untilRetry())
		if !l.outage() {
			return
		}
	}
	arrivals := l.arrivals
	l.arrivals = nil
	for _, a := range arrivals {
		l.refuse(a.Request, l.ofAction(a, reason))
	}
}

func (l *Ledger) admitArrivals() {
	arrivals := l.arrivals
	l.arrivals = nil
	for _, a := range arrivals {
		l.arrive(a)
	}
}
