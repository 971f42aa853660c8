// Package engineapi defines the HTTP API of model engines: chat completions as
// server-sent events, resuming and cancelling of streams, load and health reports,
// prefix cache events and transfer, and orders that change what an engine serves.
package engineapi

// Paths of the engine API.
const (
	PathChat        = "/v1/chat/completions"
	PathStreams     = "/v1/streams/" // followed by the stream's ID
	PathLoad        = "/v1/load"
	PathHealth      = "/v1/health"
	PathCacheEvents = "/v1/cache/events"
	PathCacheExport = "/v1/cache/export"
	PathCacheImport = "/v1/cache/import"
	PathOrders      = "/v1/orders"
)

// Headers of requests to engines and of their responses.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderStreamID carries the ID of a response's stream. A client may choose
	// the ID in its request, so that it can cancel the stream before the response
	// headers arrive.
	HeaderStreamID = "X-Stream-Id"
	HeaderPriority = "X-Priority"
)

// QueryAfter is the query parameter of PathStreams and PathCacheEvents with the
// last token index or event sequence number that the client has received.
const QueryAfter = "after"

// DoneMarker is the data of the final event of a stream.
const DoneMarker = "[DONE]"

// Message is one message of a chat.
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
	// ContinueFinalMessage asks the engine to continue the last message, which
	// must have the role assistant. MaxTokens counts new tokens only.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
}

// ChatChunk is the data of one event of a stream. The event's id is the
// zero-based index of its token within the stream.
type ChatChunk struct {
	// ID is the X-Request-Id of the request.
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

// Usage counts the tokens of a complete response.
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

// Load is an engine's report of its own load. It can be some seconds old.
type Load struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	MeasuredAtMS int64 `json:"measured_at_ms"`
}

// Health is an engine's report of its own state, "live" or "leaving".
type Health struct {
	State  string   `json:"state"`
	Models []string `json:"models"`
}

// CacheEvent reports that the engine stored a prompt prefix in its cache or
// removed one. Events arrive with a delay, and some numbers of Sequence may be
// missing.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"` // "stored" or "removed"
	// PrefixHash is the PrefixHash of the prefix's messages.
	PrefixHash uint64 `json:"prefix_hash,string"`
	Tokens     int    `json:"tokens"`
}

// CacheEvents is the body of PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheExport is the body of PathCacheExport. The response is the cached state of
// the prefix, in a format of the engine's own, and is sent unchanged to
// PathCacheImport of another engine.
type CacheExport struct {
	PrefixHash uint64 `json:"prefix_hash,string"`
}

// Order changes what an engine serves. Fence is a fencing token: some engines
// reject an order with a lower Fence than the highest they have received, others
// ignore it.
type Order struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"` // "load", "unload" or "role"
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}

// OrderState is the response to GET PathOrders and to an order. A rejected order
// gets status 409.
type OrderState struct {
	Fence  int64    `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}
