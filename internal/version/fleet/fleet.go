// Package fleet holds the desired state of a managed deployment and the hosts
// that it runs on, in the product's own terms. A deployment's adapter decodes
// its wire format into these types; everything behind it reads only them.
package fleet

import (
	"strings"
	"time"
)

// Kind says how the answer of a route's requests is delivered and whether a
// request may run more than once.
type Kind int

// Kinds of requests.
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

// Configuration is one accepted revision of the desired state. It is
// immutable after Index.
type Configuration struct {
	// Revision rises with each accepted change, in uneven steps.
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
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective: whole answer, or first event.
	Target time.Duration
	// PauseTarget is the longest pause between two events of an answer that
	// is still on time; 0 for other kinds.
	PauseTarget time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Targets are the services that the route's requests are split between.
	Targets []WeightedService
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after a given event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// WeightedService is one part of a route's split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that run the same software.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes how the endpoints of a service run models.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots int
	// MemoryTokens is the size of a group's key-value cache.
	MemoryTokens int
	// StepsPerPass token steps run between two looks at the queue.
	StepsPerPass int
	// ChunkTokens bounds the prompt tokens that are read within one step.
	ChunkTokens int
	// StepTime is the time of a token step, StepTimePerRequest the addition
	// for each request that generates.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// ReadTokensPerSecond is the rate at which prompts are read.
	ReadTokensPerSecond float64
	// LoadsPerSecond and ConcurrentLoads bound loads from the weight store.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// FormTime is the time from opening a group until it serves.
	FormTime time.Duration
	// UsualPromptTokens and UsualAnswerTokens are the means of the load.
	UsualPromptTokens float64
	UsualAnswerTokens float64
	Models            []Model
}

// Model is a model that groups of hosts replicate.
type Model struct {
	Name string
	// Size is the number of hosts of a group.
	Size int
	// WorkShare is the part of the fleet's work at the start, 0 to 1.
	WorkShare float64
	// Pace multiplies all times of a group.
	Pace float64
	// LoadTime is the time to load the weights from the weight store,
	// StagedLoadTime from the host.
	LoadTime       time.Duration
	StagedLoadTime time.Duration
}

// Model returns the model of that name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// PassTime is the time between two events of a group that is full and reads
// the given pieces of prompts within a pass, StepsPerPass at most.
func (e *Engine) PassTime(m *Model, pieces int) time.Duration {
	step := e.StepTime + time.Duration(e.Slots)*e.StepTimePerRequest
	pass := float64(e.StepsPerPass) * float64(step) * m.Pace
	return time.Duration(pass) + e.ReadTime(m, pieces*e.ChunkTokens)
}

// ReadTime is the time that a group takes to read prompt tokens.
func (e *Engine) ReadTime(m *Model, tokens int) time.Duration {
	if e.ReadTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadTokensPerSecond * m.Pace * float64(time.Second))
}

// GroupRate estimates the requests a second that a full group of the model
// completes at the usual load.
func (e *Engine) GroupRate(m *Model) float64 {
	perToken := (float64(e.StepTime)/float64(max(e.Slots, 1)) + float64(e.StepTimePerRequest)) * m.Pace
	work := perToken*e.UsualAnswerTokens + float64(e.ReadTime(m, int(e.UsualPromptTokens)))
	if work <= 0 {
		return 0
	}
	return float64(time.Second) / work
}

// Account is a caller with its keys.
type Account struct {
	Name string
	Keys []string
	// Rank replaces the rank of the route where it is set.
	Rank *int
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxBodyBytes int64
}

// Index prepares the lookups. It must be called once before use.
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

// Route returns the route of the host whose prefix is the longest that begins
// the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Account returns the account that holds the key, or nil.
func (c *Configuration) Account(key string) *Account { return c.byKey[key] }

// HasAccounts reports whether requests need a key.
func (c *Configuration) HasAccounts() bool { return len(c.Accounts) > 0 }

// HostState is a host's own word on whether it takes work.
type HostState int

// States of a host.
const (
	HostReady HostState = iota
	HostLeaving
)

// Host is one endpoint host as it last registered.
type Host struct {
	// ID names one registration; a host that starts again mostly has another.
	ID      string
	Service string
	// Address is host:port.
	Address string
	// FailureDomain is where the host stands, FabricDomain the set of hosts
	// that a group should not span.
	FailureDomain string
	FabricDomain  string
	State         HostState
	Slots         int
	// Started tells lives of one ID apart.
	Started time.Time
	// LoadedModel is the model in memory, "" for none.
	LoadedModel string
	// StagedModels are the models whose weights lie on the host.
	StagedModels []string
	// Group is the membership that the host reports; Group.Name is "" for none.
	Group Membership
}

// MemberState is the state of one member of a group.
type MemberState string

// States of a member.
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
	// Rank is the place in the member list; the head has rank 0.
	Rank  int
	State MemberState
}

// Life identifies one start of a host.
func (h *Host) Life() string { return h.ID + "@" + h.Started.UTC().Format(time.RFC3339Nano) }

// IsOpenHead reports whether the host takes requests for its group.
func (h *Host) IsOpenHead() bool {
	return h.State == HostReady && h.Group.Name != "" && h.Group.Rank == 0 && h.Group.State == MemberOpen
}
