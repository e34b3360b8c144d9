// Package endpoint is the client of the HTTP protocol of engines and services.
// Calls block until the response or the end of their context.
//
//	POST   /v1/generate       GenerateRequest -> 200 SSE of Chunk, then [DONE]
//	DELETE /v1/generate/{id}                  -> 204, cancels the stream
//	GET    /v1/state                          -> 200 State
//	GET    /v1/load                           -> 200 Load (delayed)
//	GET    /v1/cache/events?from=SEQ          -> 200 CacheEvents (delayed, may have gaps)
//	GET    /v1/kv/{id}                        -> 200 KVExport
//	POST   /v1/kv             KVExport        -> 204
//	POST   /v1/orders         Order           -> 200 State, 409 StaleOrder
//
// A service, and an engine asked to generate, may turn a request away with 503 and
// Retry-After (seconds, parts of one allowed): it wants no requests from this node for so
// long, of which at most MaxWait counts; see Facts. A host that is about to leave sets
// Endpoint-Leaving: 1 in all its answers and gets no new requests.
package endpoint

import "time"

// GenerateRequest asks the leading engine of a group for a stream.
type GenerateRequest struct {
	RequestID  string `json:"requestID"`
	Model      string `json:"model"`
	Group      string `json:"group"`
	Generation int64  `json:"generation"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"maxTokens"`
	// Priority ranks requests inside the engine; 0 is the most urgent.
	Priority int `json:"priority"`
	// ResumeIndex is the number of tokens that the caller already has. The
	// first chunk of the stream carries this index.
	ResumeIndex int `json:"resumeIndex,omitempty"`
	// Delivered is the text of those tokens, which the engine prefills.
	Delivered string `json:"delivered,omitempty"`
}

// Chunk is one event of a generated stream.
type Chunk struct {
	RequestID string `json:"requestID"`
	// Index is the position in the whole answer, counted in tokens from 0.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// Finish is set on the last chunk only, which has no text and whose Index
	// is the number of tokens of the whole answer.
	Finish FinishReason `json:"finish,omitempty"`
	Usage  *Usage       `json:"usage,omitempty"`
}

// FinishReason is why a complete answer ended.
type FinishReason string

// Finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Usage counts tokens of one request.
type Usage struct {
	PromptTokens     int `json:"promptTokens"`
	CompletionTokens int `json:"completionTokens"`
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int `json:"cachedTokens"`
}

// EngineState is the state of the model on one engine host.
type EngineState string

// Engine states.
const (
	EngineIdle    EngineState = "idle"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
)

// State is the state that an engine host reports.
type State struct {
	Host string `json:"host"`
	// BootID changes with every start of the engine process.
	BootID       string      `json:"bootID"`
	State        EngineState `json:"state"`
	Group        string      `json:"group,omitempty"`
	Generation   int64       `json:"generation,omitempty"`
	Model        string      `json:"model,omitempty"`
	ModelVersion string      `json:"modelVersion,omitempty"`
	Adapters     []string    `json:"adapters,omitempty"`
	Members      []string    `json:"members,omitempty"`
	// Epoch is the highest fencing token that the engine has accepted.
	Epoch int64 `json:"epoch"`
	Slots int   `json:"slots"`
	// Leaving is true if a probe's answer, in its header, said that the host leaves.
	Leaving bool `json:"-"`
}

// Load is a load report. It is delayed and describes the load at AsOf.
type Load struct {
	Slots   int       `json:"slots"`
	Active  int       `json:"active"`
	Waiting int       `json:"waiting"`
	AsOf    time.Time `json:"asOf"`
}

// CacheEvent reports a block of the prefix cache that was stored or evicted.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is a page of cache events. Next is the Seq from which to read the
// next page. Gap is true when events before the first one were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
	Gap    bool         `json:"gap"`
}

// KVExport transfers the key-value cache of a stream between engines.
type KVExport struct {
	RequestID string   `json:"requestID"`
	Tokens    int      `json:"tokens"`
	Blocks    []uint64 `json:"blocks"`
}

// Action is what an order asks an engine to do.
type Action string

// Order actions. Both name the wanted state, so repeating one changes nothing.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order sets the model of one engine host. An engine that checks fencing
// refuses an order whose Epoch is lower than the highest it has accepted.
type Order struct {
	Epoch        int64    `json:"epoch"`
	Action       Action   `json:"action"`
	Group        string   `json:"group"`
	Generation   int64    `json:"generation"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"modelVersion,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	// Members are the addresses (host:port) of all members, the leading engine
	// first.
	Members []string `json:"members,omitempty"`
}

// StaleOrder is the body of a 409 answer to an order.
type StaleOrder struct {
	HighestEpoch int64 `json:"highestEpoch"`
}
