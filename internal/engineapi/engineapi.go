// Package engineapi defines the HTTP interface of a model engine: chat
// completions as server-sent events, streams that can be resumed and cancelled,
// load reports, cache events, cache transfer and orders.
package engineapi

// Paths of an engine.
const (
	PathChat        = "/v1/chat/completions"
	PathStreams     = "/v1/streams/" // followed by the stream's identifier
	PathLoad        = "/v1/load"
	PathHealth      = "/v1/health"
	PathCacheEvents = "/v1/cache/events"
	PathCacheExport = "/v1/cache/export"
	PathCacheImport = "/v1/cache/import"
	PathOrders      = "/v1/orders"
)

// Headers of an engine's answers and requests.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderStreamID names the stream of an answer. A request may choose the
	// name, so that its stream can be cancelled before the answer's head came.
	HeaderStreamID = "X-Stream-Id"
	HeaderPriority = "X-Priority"
)

// QueryAfter is the query parameter of PathStreams and PathCacheEvents that
// gives the last index the caller has.
const QueryAfter = "after"

// DoneMarker is the data of the last event of a stream.
const DoneMarker = "[DONE]"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of PathChat.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// ContinueFinalMessage asks the engine to go on writing the last message,
	// which must have the role assistant. MaxTokens counts new tokens only.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
}

// ChatChunk is the data of one event of a stream. The event's id is the
// zero-based index of its token within the stream.
type ChatChunk struct {
	// ID repeats the X-Request-Id of the request.
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage is set on the last chunk only.
	Usage *Usage `json:"usage,omitempty"`
}

// Choice is the content of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the new text of a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of a whole stream.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails counts the prompt tokens that came from the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's own report, some seconds old.
type Load struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	MeasuredAtMS int64 `json:"measured_at_ms"`
}

// Health is an engine's own notice of its state, "live" or "leaving".
type Health struct {
	State  string   `json:"state"`
	Models []string `json:"models"`
}

// CacheEvent reports that the engine stored or removed a prompt prefix. Events
// come late, and Sequence numbers may be missing.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"` // "stored" or "removed"
	// PrefixHash identifies the message list, as computed by PrefixHash.
	PrefixHash uint64 `json:"prefix_hash,string"`
	Tokens     int    `json:"tokens"`
}

// CacheEvents is the body of PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheExport asks for the cached state of a prefix; the answer's body is
// opaque and is sent to PathCacheImport of another engine as it is.
type CacheExport struct {
	PrefixHash uint64 `json:"prefix_hash,string"`
}

// Order changes what an engine serves. Some engines refuse an order whose
// Fence is lower than the highest they have seen; others ignore Fence.
type Order struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"` // "load", "unload" or "role"
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}

// OrderState is the body of GET PathOrders and the answer to an order. A
// refused order is answered with status 409.
type OrderState struct {
	Fence  int64    `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}
