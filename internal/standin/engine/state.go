package engine

// State is the body of GET /admin/state.
type State struct {
	// Chats counts accepted chat requests; Started counts those that got a slot.
	Chats          int64 `json:"chats"`
	Started        int64 `json:"started"`
	Finished       int64 `json:"finished"`
	Resumes        int64 `json:"resumes"`
	Cancelled      int64 `json:"cancelled"`
	Orphaned       int64 `json:"orphaned"`
	RefusedLeaving int64 `json:"refused_leaving"`
	OutageFailed   int64 `json:"outage_failed"`
	Crashes        int64 `json:"crashes"`
	ChunksSwapped  int64 `json:"chunks_swapped"`
	WentSilent     int64 `json:"went_silent"`
	Cut            int64 `json:"cut"`
	// PromptTokens and CachedTokens count the prompts of started chats.
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	CacheUsedTokens int   `json:"cache_used_tokens"`
	CacheEntries    int   `json:"cache_entries"`
	CacheExports    int64 `json:"cache_exports"`
	CacheImports    int64 `json:"cache_imports"`
	Orders          int64 `json:"orders"`
	OrdersRefused   int64 `json:"orders_refused"`
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	PeakRunning     int   `json:"peak_running"`
}
