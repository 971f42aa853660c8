package capacity

// TargetSize is the target for one size of the fleet.
type TargetSize struct {
	Against string  `json:"against"`
	X       float64 `json:"x"`
	// From describes how X is derived from the stated sizes.
	From string `json:"from"`
}

// Stated sizes of the target fleet, from which the other target sizes are derived.
const (
	targetRouters          = 410
	targetEngines          = 600
	targetWorkspaces       = 30_000
	targetModels           = 12
	targetRequests         = 3_100
	targetTokens           = 1_100_000
	targetChats            = 3_600_000
	targetSecondsPerToken  = 0.055
	targetFirstToken       = 1.2
	targetActionShare      = 0.1
	targetSlots            = 16
	targetRetentionSeconds = 15 * 60
)

// TargetSizes returns the target for each size that is varied.
func TargetSizes() []TargetSize {
	tokensPerRequest := float64(targetTokens) / targetRequests
	answerSeconds := targetFirstToken + tokensPerRequest*targetSecondsPerToken
	actions := targetActionShare * targetRequests
	doublingsAtTarget, _ := doublings(targetRouters)
	return []TargetSize{
		{AgainstRouters, targetRouters, "daemons, taken as routers"},
		{againstRouterDoublings, doublingsAtTarget, "log2 of daemons by watchers, 2 in each of 5 failure domains"},
		{AgainstEngines, targetEngines, "engines"},
		{AgainstWorkspaces, targetWorkspaces, "workspaces"},
		{againstRequests, targetRequests, "requests/s of the fleet"},
		{againstTokens, tokensPerRequest, "tokens/s by requests/s"},
		{againstOpen, targetRequests * answerSeconds, "requests/s by the time of an answer"},
		{againstActions, actions, "assumed: a tenth of the requests are actions"},
		{againstJournal, actions / targetSlots * targetRetentionSeconds, "actions/s by slots and retention"},
		{againstChats, targetChats / targetRouters, "chats by daemons"},
		{againstPools, targetModels, "one pool for each model"},
		{againstPoolSize, targetEngines / targetModels, "engines by models"},
		{againstMembers, targetRouters, "daemons"},
		{againstHosts, targetRouters + targetEngines, "daemons and engines"},
		{againstSessions, targetRouters - 1, "all other daemons"},
		{againstDeclared, targetWorkspaces, "workspaces"},
		{againstLookups, targetRequests, "one lookup for each request"},
	}
}

// targetOf returns the target for a size, and false if there is none.
func targetOf(against string) (TargetSize, bool) {
	for _, t := range TargetSizes() {
		if t.Against == against {
			return t, true
		}
	}
	return TargetSize{}, false
}

// AtTarget returns the value of the fitted line at the target size, and false if
// there is no line or no target.
func (s Series) AtTarget() (float64, bool) {
	target, known := targetOf(s.Against)
	if !known || s.Fit == nil {
		return 0, false
	}
	return s.Fit.At(target.X), true
}
