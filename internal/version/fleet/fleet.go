// Package fleet defines the desired state of a managed deployment and the hosts
// that it runs on, in the product's own terms. The adapter of a deployment decodes
// its wire format into these types, and all other packages read only them. Nothing
// in the package blocks.
package fleet

import (
	"strings"
	"time"
)

// Kind determines how the answer to a route's requests is delivered and whether a
// request may run more than once.
type Kind int

const (
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by events.
	KindStream
)

// String returns the name that logs and metrics use.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Configuration is one accepted revision of the desired state. It is immutable
// after Index.
type Configuration struct {
	// Revision increases with each accepted change, not always by one.
	Revision int64
	Routes   []Route
	Services map[string]*Service
	Accounts []Account
	Limits   CallerLimits

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Route maps requests to services by host name and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take; 0 means that the route
	// sets no limit.
	Timeout time.Duration
	// LatencyTarget is the latency objective for the whole answer, or for the
	// first event of a stream; 0 means none.
	LatencyTarget time.Duration
	// PauseTarget is the objective for the longest time between two events of a
	// stream; 0 for other kinds.
	PauseTarget time.Duration
	// SilenceTimeout is the time without an event after which callers leave a stream; 0 if
	// it is not known.
	SilenceTimeout time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Targets are the services among which the route's requests are split.
	Targets []WeightedService
	// MaxAttempts is the maximum number of endpoints to which one request is sent.
	MaxAttempts int
	// Public is true if requests need no key.
	Public bool
	// Resumable is true if a stream may continue at another endpoint after a given
	// event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// WeightedService is a service with its weight in a route's traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that run the same software.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections of all callers to one
	// endpoint.
	MaxConnections int
	// ColdTime is how long a host is usually cold after its start. ColdPerSecond is the
	// rate of requests that a cold host can take; 0 means that there is no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes how the endpoints of a service run models.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots int
	// MemoryTokens is the size of a group's key-value cache in tokens.
	MemoryTokens int
	// StepsPerPass is the number of token steps in a pass. The engine takes new
	// requests from its queue only between passes.
	StepsPerPass int
	// ChunkTokens is the maximum number of prompt tokens processed in one step.
	ChunkTokens int
	// StepTime is the duration of a token step, to which each generating request
	// adds StepTimePerRequest.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// PrefillTokensPerSecond is the prefill rate, in prompt tokens.
	PrefillTokensPerSecond float64
	// LoadsPerSecond and ConcurrentLoads limit how many loads from the weight
	// store start per second and run at once.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// KeepsStaged is the number of models whose weights a host keeps staged, apart
	// from the model in memory.
	KeepsStaged int
	// FormTime is the time from opening a group until it serves requests.
	FormTime time.Duration
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens per
	// request.
	MeanPromptTokens float64
	MeanAnswerTokens float64
	Models           []Model
}

// Model is a model that groups of hosts replicate.
type Model struct {
	Name string
	// Size is the number of hosts of a group.
	Size int
	// WorkShare is the model's initial share of the fleet's work, 0 to 1.
	WorkShare float64
	// TimeFactor is a factor on all step and prefill times of a group.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store.
	// StagedLoadTime is the time if they are staged on the host.
	LoadTime       time.Duration
	StagedLoadTime time.Duration
}

// Model returns the model with the name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// PassTime returns the time between two events of a full group that processes the
// given number of prompt chunks, at most StepsPerPass, within a pass.
func (e *Engine) PassTime(m *Model, chunks int) time.Duration {
	step := e.StepTime + time.Duration(e.Slots)*e.StepTimePerRequest
	pass := float64(e.StepsPerPass) * float64(step) * m.TimeFactor
	return time.Duration(pass) + e.PrefillTime(m, chunks*e.ChunkTokens)
}

// PrefillTime returns the time that a group takes to process prompt tokens.
func (e *Engine) PrefillTime(m *Model, tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillTokensPerSecond * m.TimeFactor * float64(time.Second))
}

// GroupRate estimates how many requests per second a full group of the model
// completes if they have the mean numbers of tokens.
func (e *Engine) GroupRate(m *Model) float64 {
	perToken := (float64(e.StepTime)/float64(max(e.Slots, 1)) + float64(e.StepTimePerRequest)) * m.TimeFactor
	work := perToken*e.MeanAnswerTokens + float64(e.PrefillTime(m, int(e.MeanPromptTokens)))
	if work <= 0 {
		return 0
	}
	return float64(time.Second) / work
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Rank, if not nil, replaces the rank of the route.
	Rank *int
}

// CallerLimits are limits on the requests of callers.
type CallerLimits struct {
	MaxBodyBytes int64
}

// Index builds the lookup tables of Route and Account. It must be called before
// them.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.byKey = make(map[string]*Account)
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
}

// Route returns the route of the host with the longest prefix that matches the
// path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Account returns the account to which the key belongs, or nil.
func (c *Configuration) Account(key string) *Account { return c.byKey[key] }

// HasAccounts reports whether requests need a key.
func (c *Configuration) HasAccounts() bool { return len(c.Accounts) > 0 }

// HostState is whether a host takes work.
type HostState int

const (
	// HostReady hosts take work, by their own report.
	HostReady HostState = iota
	// HostLeaving hosts have reported that they leave.
	HostLeaving
	// HostUnconfirmed hosts take no new work, because another writer has replaced their
	// registration. Their work in flight and their groups go on for a short time, until
	// they register again.
	HostUnconfirmed
)

// Host is one endpoint host as last registered.
type Host struct {
	// ID names one registration. A restarted host usually has a new ID.
	ID      string
	Service string
	// Address is host:port.
	Address       string
	FailureDomain string
	// FabricDomain names the set of hosts within which a group should stay.
	FabricDomain string
	State        HostState
	Slots        int
	// Started distinguishes incarnations with the same ID.
	Started time.Time
	// ColdLeft is how long the host stayed cold from its registration on, as it said
	// there, and WarmAt when it will be warm, by the node's clock.
	ColdLeft time.Duration
	WarmAt   time.Time
	// ServingSince is when the host began to take requests: when its group opened, or an
	// evacuation ended. It is zero if that was before this node's first view.
	ServingSince time.Time
	// LoadedModel is the model in memory, "" for none.
	LoadedModel string
	// StagedModels are the models whose weights are staged on the host.
	StagedModels []string
	// Group is the membership reported by the host; Group.Name is "" for none.
	Group Membership
	// Deserted is true if a member has left the host's group, which the host may not have
	// noticed. It is set for heads only.
	Deserted bool
	// Evacuated is true while the operator evacuates the host's failure domain. The host
	// gets no requests, and its group stays as it is.
	Evacuated bool
}

// MemberState is the state of one member of a group.
type MemberState string

const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is a host's place in a replica group.
type Membership struct {
	Name  string
	Epoch int64
	// Rank is the position in the member list. The head has rank 0.
	Rank  int
	State MemberState
}

// Instance identifies one incarnation of a host.
func (h *Host) Instance() string { return h.ID + "@" + h.Started.UTC().Format(time.RFC3339Nano) }

// TakesRequests reports whether the host, or its group, may get new requests as far as
// its state and the operator's evacuations tell.
func (h *Host) TakesRequests() bool { return h.State == HostReady && !h.Evacuated }

// IsOpenHead reports whether the host is the head of an open group and thus takes
// the group's requests. A group that a member has left does not work.
func (h *Host) IsOpenHead() bool {
	return h.TakesRequests() && !h.Deserted && h.Group.Name != "" && h.Group.Rank == 0 && h.Group.State == MemberOpen
}
