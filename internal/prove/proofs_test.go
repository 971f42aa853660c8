package prove

import (
	"slices"
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// body is the JSON body of a stand-in's switches.
type body = map[string]any

func replayedProofs() []replayed {
	return slices.Concat(evenLoadProofs(), wholeAnswerProofs(), killedDaemonProofs(), notRunProofs(), atMostOnceProofs(),
		noNewWorkProofs(), nothingCutProofs(), configurationProofs())
}

func evenLoadProofs() []replayed {
	surge := func(p *trace.Profile) {
		p.Workspaces[0].SurgeFactor = 10
		p.Workspaces[0].TurnsPerS = 4
		p.Workspaces[1].TurnsPerS = 16
	}
	busy := func(p *trace.Profile) { p.Workspaces[0].TurnsPerS, p.Workspaces[1].TurnsPerS = 16, 16 }
	return []replayed{
		{promise: promiseEvenLoad, fault: "one workspace surges tenfold", outcomes: evenLoad(), adjust: surge},
		{promise: promiseEvenLoad, fault: "engine killed", outcomes: evenLoad(), adjust: busy,
			faults: []trace.Fault{fault(2000, "engine-2", trace.ActionKill)}},
		{promise: promiseEvenLoad, fault: "router killed", outcomes: evenLoad(), adjust: busy,
			faults: []trace.Fault{fault(2500, "router-1", trace.ActionKill)}},
		{promise: promiseEvenLoad, fault: "engine's load report is wrong and a workspace surges", outcomes: evenLoad(), adjust: surge,
			faults: []trace.Fault{set(500, "engine-1", body{"load_report": body{"running": 0, "waiting": 0, "measured_at_ms": 0}})}},
	}
}

func wholeAnswerProofs() []replayed {
	return []replayed{
		{promise: promiseWholeAnswers, fault: "engine killed mid-stream", short: true, effects: []effect{streamsBroke()}, outcomes: wholeAnswers(),
			faults: []trace.Fault{fault(2500, "engine-2", trace.ActionKill)}},
		{promise: promiseWholeAnswers, fault: "engine frozen for three seconds", effects: []effect{streamsBroke()}, outcomes: wholeAnswers(),
			faults: []trace.Fault{fault(2000, "engine-2", trace.ActionFreeze), fault(5000, "engine-2", trace.ActionThaw)}},
		{promise: promiseWholeAnswers, fault: "open connections of an engine go silent", effects: []effect{streamsBroke(), counted("engine-3", "went_silent")}, outcomes: wholeAnswers(),
			faults: []trace.Fault{perform(2500, "engine-3", body{"silence_open": true})}},
		{promise: promiseWholeAnswers, fault: "streams of an engine cut and chunks of streams swapped", effects: []effect{counted("engine-1", "cut"), counted("engine-3", "chunks_swapped")}, outcomes: wholeAnswers(),
			faults: []trace.Fault{
				set(1000, "engine-1", body{"cut": body{"count": 8, "after_tokens": 10}}),
				set(1000, "engine-3", body{"swap_chunks": 6, "duplicate_chunks": 6}),
			}},
		{promise: promiseWholeAnswers, fault: "router frozen for good", effects: []effect{callersRetried()}, outcomes: wholeAnswers(),
			faults: []trace.Fault{fault(2500, "router-2", trace.ActionFreeze)}},
		{promise: promiseWholeAnswers, fault: "engine and router killed at once", effects: []effect{inUse("engine-4", 2500), callersRetried()}, outcomes: wholeAnswers(),
			faults: []trace.Fault{fault(2500, "engine-4", trace.ActionKill), fault(2500, "router-3", trace.ActionKill)}},
		{promise: promiseWholeAnswers, fault: "key-value service down while an engine is killed", effects: []effect{streamsBroke(), counted("key-value", "outage_failed")}, outcomes: wholeAnswers(),
			faults: []trace.Fault{set(500, "key-value", body{"outage": "cut"}), fault(2500, "engine-1", trace.ActionKill)}},
	}
}

// killedDaemonProofs kill each daemon in turn.
func killedDaemonProofs() []replayed {
	var proofs []replayed
	for _, name := range []string{"router-1", "router-2", "router-3", "directory-1", "directory-2"} {
		p := replayed{promise: promiseWholeAnswers, fault: name + " killed mid-stream", outcomes: wholeAnswers(),
			faults: []trace.Fault{fault(2500, name, trace.ActionKill)}}
		if strings.HasPrefix(name, "router") {
			p.effects = []effect{callersRetried()}
		}
		proofs = append(proofs, p)
	}
	return proofs
}

func notRunProofs() []replayed {
	return []replayed{
		{promise: promiseNotRun, fault: "key-value service cuts every call for four seconds", short: true, effects: []effect{counted("key-value", "outage_failed")}, outcomes: notRunIsTrue(),
			faults: []trace.Fault{set(1000, "key-value", body{"outage": "cut"}), set(5000, "key-value", body{"outage": ""})}},
		{promise: promiseNotRun, fault: "service closes connections before it runs calls", effects: []effect{counted("booking-1", "refused_before"), counted("booking-2", "refused_before")}, outcomes: notRunIsTrue(),
			faults: []trace.Fault{set(1000, "booking-1", body{"refuse_before": 8}), set(1000, "booking-2", body{"refuse_before": 8})}},
		{promise: promiseNotRun, fault: "service runs calls and loses the replies", outcomes: notRunIsTrue(),
			effects: []effect{counted("booking-1", "replies_lost"), counted("booking-2", "replies_lost")},
			faults:  []trace.Fault{set(1000, "booking-1", body{"lose_replies": 8}), set(1000, "booking-2", body{"lose_replies": 8})}},
		{promise: promiseNotRun, fault: "service runs calls and answers with an error", effects: []effect{counted("booking-1", "errors"), counted("booking-2", "errors")}, outcomes: notRunIsTrue(),
			faults: []trace.Fault{set(1000, "booking-1", body{"errors_after": 8}), set(1000, "booking-2", body{"errors_after": 8})}},
		{promise: promiseNotRun, fault: "key-value service frozen and a router killed", effects: []effect{callersRetried()}, outcomes: notRunIsTrue(),
			faults: []trace.Fault{fault(1500, "key-value", trace.ActionFreeze), fault(2000, "router-2", trace.ActionKill), fault(5000, "key-value", trace.ActionThaw)}},
	}
}

func atMostOnceProofs() []replayed {
	slow := body{"delay_ms": 300}
	// long keeps several actions in flight at each router at any time.
	long := body{"delay_ms": 1500}
	return []replayed{
		{promise: promiseAtMostOnce, fault: "router killed while actions run", short: true, effects: []effect{callersRetried()}, outcomes: atMostOnce(),
			faults: []trace.Fault{set(0, "booking-1", slow), set(0, "booking-2", slow), fault(2500, "router-1", trace.ActionKill)}},
		{promise: promiseAtMostOnce, fault: "service runs calls and loses the replies", effects: []effect{counted("booking-1", "replies_lost"), counted("booking-2", "replies_lost")}, outcomes: atMostOnce(),
			faults: []trace.Fault{set(1000, "booking-1", body{"lose_replies": 5}), set(1000, "booking-2", body{"lose_replies": 5})}},
		{promise: promiseAtMostOnce, fault: "writes of the key-value service applied with their replies lost", effects: []effect{counted("key-value", "replies_lost")}, outcomes: atMostOnce(),
			faults: []trace.Fault{set(500, "key-value", body{"lose_write_replies": 40})}},
		{promise: promiseAtMostOnce, fault: "router frozen while actions run, and thawed", effects: []effect{unknownOutcomes()}, outcomes: atMostOnce(),
			faults: []trace.Fault{set(0, "booking-1", long), set(0, "booking-2", long), fault(1500, "router-2", trace.ActionFreeze), fault(5500, "router-2", trace.ActionThaw)}},
		{promise: promiseAtMostOnce, fault: "two routers frozen in turn while actions run, and thawed", effects: []effect{slowCalls()}, outcomes: atMostOnce(),
			faults: []trace.Fault{
				set(0, "booking-1", slow), set(0, "booking-2", slow), fault(1000, "router-3", trace.ActionFreeze), fault(2500, "router-3", trace.ActionThaw),
				fault(3000, "router-1", trace.ActionFreeze), fault(5500, "router-1", trace.ActionThaw),
			}},
		{promise: promiseAtMostOnce, fault: "router killed while the key-value service loses replies", effects: []effect{callersRetried(), counted("key-value", "replies_lost")}, outcomes: atMostOnce(),
			faults: []trace.Fault{set(0, "booking-1", slow), set(1500, "key-value", body{"lose_write_replies": 40}), fault(2500, "router-3", trace.ActionKill)}},
		{promise: promiseAtMostOnce, fault: "router frozen during an outage of the key-value service, and thawed", effects: []effect{callersRetried(), counted("key-value", "outage_failed")}, outcomes: atMostOnce(),
			faults: []trace.Fault{
				set(0, "booking-2", slow), fault(1500, "router-1", trace.ActionFreeze), set(2000, "key-value", body{"outage": "cut"}),
				set(4000, "key-value", body{"outage": ""}), fault(5500, "router-1", trace.ActionThaw),
			}},
	}
}

func noNewWorkProofs() []replayed {
	drain := []trace.Change{{AtMS: 1000, ID: "drain", Upstream: "engine-3", Drain: true}}
	leave := fault(1000, "engine-2", trace.ActionLeave)
	return []replayed{
		{promise: promiseNoNewWork, fault: "operator drains an engine", outcomes: noNewWork(), changes: drain},
		{promise: promiseNoNewWork, fault: "platform lists an engine as leaving", short: true, outcomes: noNewWork(), faults: []trace.Fault{leave}},
		{promise: promiseNoNewWork, fault: "engine shuts down", outcomes: noNewWork(), faults: []trace.Fault{fault(1000, "engine-1", trace.ActionShutdown)}},
		{promise: promiseNoNewWork, fault: "engine drained and then a router killed", outcomes: noNewWork(), changes: drain,
			faults: []trace.Fault{fault(1500, "router-1", trace.ActionKill)}},
		{promise: promiseNoNewWork, fault: "engine leaves during an outage of the key-value service", effects: []effect{counted("key-value", "outage_failed")}, outcomes: noNewWork(),
			faults: []trace.Fault{set(500, "key-value", body{"outage": "cut"}), leave}},
	}
}

func nothingCutProofs() []replayed {
	engineStops := fault(2000, "engine-2", trace.ActionShutdown)
	return []replayed{
		{promise: promiseNothingCut, fault: "engine shuts down", outcomes: nothingCut(), faults: []trace.Fault{engineStops}},
		{promise: promiseNothingCut, fault: "router shuts down", short: true, outcomes: nothingCut(),
			faults: []trace.Fault{fault(2000, "router-2", trace.ActionShutdown)}},
		{promise: promiseNothingCut, fault: "engine and router shut down at once", outcomes: nothingCut(),
			faults: []trace.Fault{engineStops, fault(2000, "router-3", trace.ActionShutdown)}},
		{promise: promiseNothingCut, fault: "engine shuts down during an outage of the key-value service", outcomes: nothingCut(),
			faults: []trace.Fault{set(500, "key-value", body{"outage": "cut"}), engineStops}},
	}
}

func configurationProofs() []replayed {
	changes := []trace.Change{
		{AtMS: 1500, ID: "first", Upstream: "engine-1", Labels: map[string]string{"site": "yard", "tier": "a"}},
		{AtMS: 2500, ID: "second", Upstream: "engine-2", Labels: map[string]string{"site": "yard", "tier": "b"}},
	}
	return []replayed{
		{promise: promiseConfiguration, fault: "watches end and miss changes", short: true, outcomes: inForce(), changes: changes,
			faults: []trace.Fault{perform(1000, "key-value", body{"drop_watch_events": 20}), perform(2000, "key-value", body{"end_watches": true})}},
		{promise: promiseConfiguration, fault: "replies to commits lost", effects: []effect{counted("key-value", "replies_lost")}, outcomes: inForce(), changes: changes,
			faults: []trace.Fault{set(1000, "key-value", body{"lose_write_replies": 20})}},
		{promise: promiseConfiguration, fault: "watches late by two seconds and a router killed", outcomes: inForce(), changes: changes,
			faults: []trace.Fault{set(1000, "key-value", body{"watch_delay_ms": 2000}), fault(2000, "router-1", trace.ActionKill)}},
	}
}
