package prove

import (
	"slices"
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// body is the JSON body of a request that injects faults into a stand-in.
type body = map[string]any

func replayedProofs() []replayedProof {
	return slices.Concat(evenLoadProofs(), wholeAnswerProofs(), killedDaemonProofs(), notRunProofs(), atMostOnceProofs(),
		noNewWorkProofs(), gracefulShutdownProofs(), configurationProofs())
}

func evenLoadProofs() []replayedProof {
	surge := func(p *trace.Profile) {
		p.Workspaces[0].SurgeFactor = 10
		p.Workspaces[0].TurnsPerS = 4
		p.Workspaces[1].TurnsPerS = 16
	}
	busy := func(p *trace.Profile) { p.Workspaces[0].TurnsPerS, p.Workspaces[1].TurnsPerS = 16, 16 }
	return []replayedProof{
		{promise: promiseEvenLoad, fault: "one workspace surges tenfold", outcomes: evenLoadOutcomes(), adjust: surge},
		{promise: promiseEvenLoad, fault: "engine killed", outcomes: evenLoadOutcomes(), adjust: busy,
			faults: []trace.Fault{fault(2000, "engine-2", trace.ActionKill)}},
		{promise: promiseEvenLoad, fault: "router killed", outcomes: evenLoadOutcomes(), adjust: busy,
			faults: []trace.Fault{fault(2500, "router-1", trace.ActionKill)}},
		{promise: promiseEvenLoad, fault: "engine's load report is wrong and a workspace surges", outcomes: evenLoadOutcomes(), adjust: surge,
			faults: []trace.Fault{setFaults(500, "engine-1", body{"load_report": body{"running": 0, "waiting": 0, "measured_at_ms": 0}})}},
	}
}

func wholeAnswerProofs() []replayedProof {
	return []replayedProof{
		{promise: promiseWholeAnswers, fault: "engine killed mid-stream", short: true, effects: []effect{brokenStreams()}, outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{fault(2500, "engine-2", trace.ActionKill)}},
		{promise: promiseWholeAnswers, fault: "engine frozen for three seconds", effects: []effect{brokenStreams()}, outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{fault(2000, "engine-2", trace.ActionFreeze), fault(5000, "engine-2", trace.ActionThaw)}},
		{promise: promiseWholeAnswers, fault: "open connections of an engine go silent", effects: []effect{brokenStreams(), counterIncreased("engine-3", "went_silent")}, outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{performAction(2500, "engine-3", body{"silence_open": true})}},
		{promise: promiseWholeAnswers, fault: "streams of an engine cut and chunks of streams swapped", effects: []effect{counterIncreased("engine-1", "cut"), counterIncreased("engine-3", "chunks_swapped")}, outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{
				setFaults(1000, "engine-1", body{"cut": body{"count": 8, "after_tokens": 10}}),
				setFaults(1000, "engine-3", body{"swap_chunks": 6, "duplicate_chunks": 6}),
			}},
		{promise: promiseWholeAnswers, fault: "router frozen for good", effects: []effect{callersRetried()}, outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{fault(2500, "router-2", trace.ActionFreeze)}},
		{promise: promiseWholeAnswers, fault: "engine and router killed at once", effects: []effect{engineBusy("engine-4", 2500), callersRetried()}, outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{fault(2500, "engine-4", trace.ActionKill), fault(2500, "router-3", trace.ActionKill)}},
		{promise: promiseWholeAnswers, fault: "key-value service down while an engine is killed", effects: []effect{brokenStreams(), counterIncreased("key-value", "outage_failed")}, outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{setFaults(500, "key-value", body{"outage": "cut"}), fault(2500, "engine-1", trace.ActionKill)}},
	}
}

// killedDaemonProofs returns a proof for each daemon in which that daemon is killed.
func killedDaemonProofs() []replayedProof {
	var proofs []replayedProof
	for _, name := range []string{"router-1", "router-2", "router-3", "directory-1", "directory-2"} {
		p := replayedProof{promise: promiseWholeAnswers, fault: name + " killed mid-stream", outcomes: wholeAnswerOutcomes(),
			faults: []trace.Fault{fault(2500, name, trace.ActionKill)}}
		if strings.HasPrefix(name, "router") {
			p.effects = []effect{callersRetried()}
		}
		proofs = append(proofs, p)
	}
	return proofs
}

func notRunProofs() []replayedProof {
	return []replayedProof{
		{promise: promiseNotRun, fault: "key-value service cuts every call for four seconds", short: true, effects: []effect{counterIncreased("key-value", "outage_failed")}, outcomes: notRunOutcomes(),
			faults: []trace.Fault{setFaults(1000, "key-value", body{"outage": "cut"}), setFaults(5000, "key-value", body{"outage": ""})}},
		{promise: promiseNotRun, fault: "service closes connections before it runs calls", effects: []effect{counterIncreased("booking-1", "refused_before"), counterIncreased("booking-2", "refused_before")}, outcomes: notRunOutcomes(),
			faults: []trace.Fault{setFaults(1000, "booking-1", body{"refuse_before": 8}), setFaults(1000, "booking-2", body{"refuse_before": 8})}},
		{promise: promiseNotRun, fault: "service runs calls and loses the replies", outcomes: notRunOutcomes(),
			effects: []effect{counterIncreased("booking-1", "replies_lost"), counterIncreased("booking-2", "replies_lost")},
			faults:  []trace.Fault{setFaults(1000, "booking-1", body{"lose_replies": 8}), setFaults(1000, "booking-2", body{"lose_replies": 8})}},
		{promise: promiseNotRun, fault: "service runs calls and answers with an error", effects: []effect{counterIncreased("booking-1", "errors"), counterIncreased("booking-2", "errors")}, outcomes: notRunOutcomes(),
			faults: []trace.Fault{setFaults(1000, "booking-1", body{"errors_after": 8}), setFaults(1000, "booking-2", body{"errors_after": 8})}},
		{promise: promiseNotRun, fault: "key-value service frozen and a router killed", effects: []effect{callersRetried()}, outcomes: notRunOutcomes(),
			faults: []trace.Fault{fault(1500, "key-value", trace.ActionFreeze), fault(2000, "router-2", trace.ActionKill), fault(5000, "key-value", trace.ActionThaw)}},
	}
}

func atMostOnceProofs() []replayedProof {
	slow := body{"delay_ms": 300}
	// long keeps several actions in flight at each router at any time.
	long := body{"delay_ms": 1500}
	return []replayedProof{
		{promise: promiseAtMostOnce, fault: "router killed while actions run", short: true, effects: []effect{callersRetried()}, outcomes: atMostOnceOutcomes(),
			faults: []trace.Fault{setFaults(0, "booking-1", slow), setFaults(0, "booking-2", slow), fault(2500, "router-1", trace.ActionKill)}},
		{promise: promiseAtMostOnce, fault: "service runs calls and loses the replies", effects: []effect{counterIncreased("booking-1", "replies_lost"), counterIncreased("booking-2", "replies_lost")}, outcomes: atMostOnceOutcomes(),
			faults: []trace.Fault{setFaults(1000, "booking-1", body{"lose_replies": 5}), setFaults(1000, "booking-2", body{"lose_replies": 5})}},
		{promise: promiseAtMostOnce, fault: "writes of the key-value service applied with their replies lost", effects: []effect{counterIncreased("key-value", "replies_lost")}, outcomes: atMostOnceOutcomes(),
			faults: []trace.Fault{setFaults(500, "key-value", body{"lose_write_replies": 40})}},
		{promise: promiseAtMostOnce, fault: "router frozen while actions run, and thawed", effects: []effect{unknownOutcomes()}, outcomes: atMostOnceOutcomes(),
			faults: []trace.Fault{setFaults(0, "booking-1", long), setFaults(0, "booking-2", long), fault(1500, "router-2", trace.ActionFreeze), fault(5500, "router-2", trace.ActionThaw)}},
		{promise: promiseAtMostOnce, fault: "two routers frozen in turn while actions run, and thawed", effects: []effect{slowCalls()}, outcomes: atMostOnceOutcomes(),
			faults: []trace.Fault{
				setFaults(0, "booking-1", slow), setFaults(0, "booking-2", slow), fault(1000, "router-3", trace.ActionFreeze), fault(2500, "router-3", trace.ActionThaw),
				fault(3000, "router-1", trace.ActionFreeze), fault(5500, "router-1", trace.ActionThaw),
			}},
		{promise: promiseAtMostOnce, fault: "router killed while the key-value service loses replies", effects: []effect{callersRetried(), counterIncreased("key-value", "replies_lost")}, outcomes: atMostOnceOutcomes(),
			faults: []trace.Fault{setFaults(0, "booking-1", slow), setFaults(1500, "key-value", body{"lose_write_replies": 40}), fault(2500, "router-3", trace.ActionKill)}},
		{promise: promiseAtMostOnce, fault: "router frozen during an outage of the key-value service, and thawed", effects: []effect{callersRetried(), counterIncreased("key-value", "outage_failed")}, outcomes: atMostOnceOutcomes(),
			faults: []trace.Fault{
				setFaults(0, "booking-2", slow), fault(1500, "router-1", trace.ActionFreeze), setFaults(2000, "key-value", body{"outage": "cut"}),
				setFaults(4000, "key-value", body{"outage": ""}), fault(5500, "router-1", trace.ActionThaw),
			}},
	}
}

func noNewWorkProofs() []replayedProof {
	drain := []trace.Change{{AtMS: 1000, ID: "drain", Upstream: "engine-3", Drain: true}}
	leave := fault(1000, "engine-2", trace.ActionLeave)
	return []replayedProof{
		{promise: promiseNoNewWork, fault: "operator drains an engine", outcomes: noNewWorkOutcomes(), changes: drain},
		{promise: promiseNoNewWork, fault: "platform lists an engine as leaving", short: true, outcomes: noNewWorkOutcomes(), faults: []trace.Fault{leave}},
		{promise: promiseNoNewWork, fault: "engine shuts down", outcomes: noNewWorkOutcomes(), faults: []trace.Fault{fault(1000, "engine-1", trace.ActionShutdown)}},
		{promise: promiseNoNewWork, fault: "engine drained and then a router killed", outcomes: noNewWorkOutcomes(), changes: drain,
			faults: []trace.Fault{fault(1500, "router-1", trace.ActionKill)}},
		{promise: promiseNoNewWork, fault: "engine leaves during an outage of the key-value service", effects: []effect{counterIncreased("key-value", "outage_failed")}, outcomes: noNewWorkOutcomes(),
			faults: []trace.Fault{setFaults(500, "key-value", body{"outage": "cut"}), leave}},
	}
}

func gracefulShutdownProofs() []replayedProof {
	engineStops := fault(2000, "engine-2", trace.ActionShutdown)
	return []replayedProof{
		{promise: promiseGracefulShutdown, fault: "engine shuts down", outcomes: gracefulShutdownOutcomes(), faults: []trace.Fault{engineStops}},
		{promise: promiseGracefulShutdown, fault: "router shuts down", short: true, outcomes: gracefulShutdownOutcomes(),
			faults: []trace.Fault{fault(2000, "router-2", trace.ActionShutdown)}},
		{promise: promiseGracefulShutdown, fault: "engine and router shut down at once", outcomes: gracefulShutdownOutcomes(),
			faults: []trace.Fault{engineStops, fault(2000, "router-3", trace.ActionShutdown)}},
		{promise: promiseGracefulShutdown, fault: "engine shuts down during an outage of the key-value service", outcomes: gracefulShutdownOutcomes(),
			faults: []trace.Fault{setFaults(500, "key-value", body{"outage": "cut"}), engineStops}},
	}
}

func configurationProofs() []replayedProof {
	changes := []trace.Change{
		{AtMS: 1500, ID: "first", Upstream: "engine-1", Labels: map[string]string{"site": "yard", "tier": "a"}},
		{AtMS: 2500, ID: "second", Upstream: "engine-2", Labels: map[string]string{"site": "yard", "tier": "b"}},
	}
	return []replayedProof{
		{promise: promiseConfiguration, fault: "watches end and miss changes", short: true, outcomes: configurationOutcomes(), changes: changes,
			faults: []trace.Fault{performAction(1000, "key-value", body{"drop_watch_events": 20}), performAction(2000, "key-value", body{"end_watches": true})}},
		{promise: promiseConfiguration, fault: "replies to commits lost", effects: []effect{counterIncreased("key-value", "replies_lost")}, outcomes: configurationOutcomes(), changes: changes,
			faults: []trace.Fault{setFaults(1000, "key-value", body{"lose_write_replies": 20})}},
		{promise: promiseConfiguration, fault: "watches late by two seconds and a router killed", outcomes: configurationOutcomes(), changes: changes,
			faults: []trace.Fault{setFaults(1000, "key-value", body{"watch_delay_ms": 2000}), fault(2000, "router-1", trace.ActionKill)}},
	}
}
