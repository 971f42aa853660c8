package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Generate makes a trace from a profile. The result is deterministic for a given
// profile, seed and duration. Faults and changes after the duration are omitted.
func Generate(p Profile, seed uint64, duration time.Duration) *Trace {
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, seed))}
	t := &Trace{Settings: p.Settings, Selectors: p.Selectors, Outcomes: p.Outcomes}
	t.Settings.Seed = seed
	t.Settings.DurationMS = duration.Milliseconds()
	for _, w := range p.Workspaces {
		t.Workspaces = append(t.Workspaces, w.Workspace)
		t.Turns = append(t.Turns, g.turns(w, t.Settings.DurationMS)...)
		t.Calls = append(t.Calls, g.calls(w, t.Settings.DurationMS)...)
	}
	slices.SortStableFunc(t.Turns, func(a, b Turn) int { return cmp.Compare(a.AtMS, b.AtMS) })
	slices.SortStableFunc(t.Calls, func(a, b Call) int { return cmp.Compare(a.AtMS, b.AtMS) })
	t.Changes = slices.DeleteFunc(slices.Clone(p.Changes), func(c Change) bool { return c.At() > duration })
	t.Faults = slices.DeleteFunc(slices.Clone(p.Faults), func(f Fault) bool { return f.At() > duration })
	return t
}

type generator struct {
	profile Profile
	rng     *rand.Rand
}

// chatState is the state of a chat that later turns may continue.
type chatState struct {
	id     string
	turns  int
	words  int
	lastMS int64
}

// turns generates the turns of one workspace. Their arrivals are a Poisson process
// whose rate is multiplied by the surge factor in the middle third of the trace.
func (g *generator) turns(w WorkspaceProfile, durationMS int64) []Turn {
	var out []Turn
	var chats []*chatState
	for at := g.interArrivalMS(w.rate(0, durationMS)); at < durationMS; at += g.interArrivalMS(w.rate(at, durationMS)) {
		chat := g.pickChat(chats, at)
		if chat == nil {
			chat = &chatState{id: fmt.Sprintf("%s-c%d", w.Name, len(chats))}
			chats = append(chats, chat)
		}
		out = append(out, g.turn(w, chat, at))
	}
	return out
}

func (w *WorkspaceProfile) rate(atMS, durationMS int64) float64 {
	surging := atMS > durationMS/3 && atMS < durationMS*2/3
	if surging && w.SurgeFactor > 1 {
		return w.TurnsPerS * w.SurgeFactor
	}
	return w.TurnsPerS
}

// interArrivalMS draws the time until the next arrival, in milliseconds, from an
// exponential distribution.
func (g *generator) interArrivalMS(ratePerS float64) int64 {
	return 1 + int64(g.rng.ExpFloat64()*1000/ratePerS)
}

// pickChat returns the chat that the next turn continues, or nil to start a new
// chat.
func (g *generator) pickChat(chats []*chatState, at int64) *chatState {
	if g.rng.Float64() >= g.profile.Chats.ReturnShare {
		return nil
	}
	var ready []*chatState
	for _, chat := range chats {
		if at-chat.lastMS >= g.profile.Chats.PauseMinMS {
			ready = append(ready, chat)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[g.rng.IntN(len(ready))]
}

func (g *generator) turn(w WorkspaceProfile, chat *chatState, at int64) Turn {
	c := g.profile.Chats
	t := Turn{
		AtMS: at, ID: fmt.Sprintf("%s-t%d", chat.id, chat.turns),
		Workspace: w.Name, Chat: chat.id, Turn: chat.turns, Model: c.Model,
		PrefixWords: chat.words, NewWords: g.randBetween(c.NextWordsMin, c.NextWordsMax),
		MaxTokens: g.randBetween(c.AnswerMin, c.AnswerMax), TimeoutMS: c.TimeoutMS,
	}
	if chat.turns == 0 {
		t.NewWords = g.randBetween(c.FirstWordsMin, c.FirstWordsMax)
	} else {
		t.PauseMS = at - chat.lastMS
	}
	chat.turns++
	chat.words += t.NewWords + t.MaxTokens
	chat.lastMS = at
	return t
}

func (g *generator) randBetween(low, high int) int { return low + g.rng.IntN(high-low+1) }

// calls generates the service calls of one workspace, whose arrivals are a Poisson
// process.
func (g *generator) calls(w WorkspaceProfile, durationMS int64) []Call {
	var out []Call
	for at := g.interArrivalMS(w.CallsPerS); at < durationMS; at += g.interArrivalMS(w.CallsPerS) {
		out = append(out, g.call(w.Name, len(out), at))
	}
	return out
}

func (g *generator) call(workspace string, number int, at int64) Call {
	kind := g.pickCallProfile()
	call := Call{
		AtMS: at, ID: fmt.Sprintf("%s-s%d", workspace, number),
		Workspace: workspace, Service: kind.Service, Method: kind.Method, Path: kind.Path,
		Action: kind.Action, TimeoutMS: 10000,
	}
	if strings.Contains(kind.Path, "%d") {
		call.Path = fmt.Sprintf(kind.Path, g.randBetween(1, 40))
	}
	if kind.Method == "POST" {
		call.Body = fmt.Sprintf(`{"request":%q}`, call.ID)
	}
	if kind.Action && g.rng.Float64() < kind.ResendShare {
		call.ResendAfterMS = int64(g.randBetween(1, 400))
	}
	return call
}

func (g *generator) pickCallProfile() CallProfile {
	draw := g.rng.Float64()
	for _, kind := range g.profile.Calls {
		if draw < kind.Share {
			return kind
		}
		draw -= kind.Share
	}
	return g.profile.Calls[len(g.profile.Calls)-1]
}
