package ledger

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

func refusalBadKey() *refusal.Refusal {
	return refusal.New(refusal.ActionKeyInvalid,
		"the action key is no UUID version 7: make one for each action and keep it for resends")
}

func refusalFutureKey() *refusal.Refusal {
	return refusal.New(refusal.ActionKeyInvalid,
		"the action key was issued in the future: set the caller's clock and send the action with the same key later")
}

func refusalExpired() *refusal.Refusal {
	return refusal.NewUnknown(refusal.ActionKeyExpired,
		"the action key is older than the retention, so it can't be told whether it ran: look the action up in the service, and use a new key if it is missing there")
}

func refusalKeyReused() *refusal.Refusal {
	return refusal.New(refusal.ActionKeyReused,
		"the action key belongs to another request, this one was not run: make a new key for each action")
}

func refusalUnconfirmed() *refusal.Refusal {
	return refusal.NewUnknown(refusal.ActionUnconfirmed,
		"the action was claimed earlier and its outcome is not recorded: look the action up in the service, and use a new key if it is missing there")
}

func refusalStillRunning() *refusal.Refusal {
	return refusal.NewUnknown(refusal.ActionUnconfirmed,
		"another request with this action key is under way: send it again with the same key to learn the outcome").
		WithRetryAfter(time.Second)
}

func refusalOutage(retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(refusal.ClaimsUnavailable,
		"the claim could not be written, this request was not run: send it again with the same key").
		WithRetryAfter(retryAfter)
}

func refusalLeaving() *refusal.Refusal {
	return refusal.New(refusal.Leaving,
		"this daemon is shutting down, the action was not run: send it again with the same key").
		WithRetryAfter(time.Second)
}

func refusalFull() *refusal.Refusal {
	return refusal.New(refusal.Overloaded,
		"too many actions within the retention, the action was not run: send it again later, or raise claims.max_actions").
		WithRetryAfter(time.Second)
}
