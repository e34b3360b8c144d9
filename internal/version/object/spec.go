package object

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// MaxNameLength is the maximum length of an object name, in bytes.
const MaxNameLength = 63

// MaxGroupMembers is the maximum number of hosts in one replica group.
const MaxGroupMembers = 64

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ReplicaGroupSpec declares one replica of a model that spans several hosts.
type ReplicaGroupSpec struct {
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters,omitempty"`
	// FailureDomain is the domain whose hosts the group may use. All members
	// share one fabric domain inside it.
	FailureDomain string `json:"failureDomain"`
	// Members is the number of hosts that the replica spans.
	Members int `json:"members"`
	// Worth is the relative value of the group. Of groups that compete for
	// hosts, the one with the higher worth gets them.
	Worth int `json:"worth,omitempty"`
}

// ClientAccountSpec declares a client account and its caps over all nodes.
type ClientAccountSpec struct {
	// KeyHashes are SHA-256 hashes of bearer keys, in lower-case hex.
	KeyHashes []string `json:"keyHashes"`
	// Ranks names the ranks that the account may use.
	Ranks []string `json:"ranks"`
	// TokensPerSecond caps the rate of prompt and generated tokens together.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// BurstTokens is the depth of the token bucket.
	BurstTokens int64 `json:"burstTokens"`
	// MaxInFlight caps concurrent requests.
	MaxInFlight int `json:"maxInFlight"`
	// Class groups accounts in reports: AccountLarge or AccountSmall.
	Class AccountClass `json:"class"`
}

// AccountClass groups client accounts in reports.
type AccountClass string

// The account classes.
const (
	AccountLarge AccountClass = "large"
	AccountSmall AccountClass = "small"
)

// RankSpec declares a rank of requests and its service-level targets.
type RankSpec struct {
	// Priority orders ranks; 0 is the most urgent.
	Priority int `json:"priority"`
	// FirstTokenTargetMillis bounds the time to the first token.
	FirstTokenTargetMillis int64 `json:"firstTokenTargetMillis"`
	// InterTokenTargetMillis bounds the time between two tokens.
	InterTokenTargetMillis int64 `json:"interTokenTargetMillis"`
	// FloorShare is the share of tokens, 0 to 1, that the rank is guaranteed
	// while it has a backlog.
	FloorShare float64 `json:"floorShare"`
	// QueueBound is the maximum number of queued requests at one node.
	QueueBound int `json:"queueBound"`
	// Preemptible streams may be cancelled and resumed for urgent work.
	Preemptible bool `json:"preemptible"`
	// RetryShare is the retry budget as a share, 0 to 1, of first attempts.
	RetryShare float64 `json:"retryShare"`
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int `json:"maxAttempts"`
	// Objective is the share of requests, between 0 and 1, that should meet the
	// targets.
	Objective float64 `json:"objective"`
}

// FirstTokenTarget returns the target for the time to the first token.
func (s *RankSpec) FirstTokenTarget() time.Duration {
	return time.Duration(s.FirstTokenTargetMillis) * time.Millisecond
}

// InterTokenTarget returns the target for the time between two tokens.
func (s *RankSpec) InterTokenTarget() time.Duration {
	return time.Duration(s.InterTokenTargetMillis) * time.Millisecond
}

// ServiceSpec declares a plain HTTP service to which calls are forwarded.
type ServiceSpec struct {
	// Hosts names the endpoints of the service in the platform's host list.
	Hosts []string `json:"hosts"`
	// Idempotent lists the calls that may be repeated. Any other call is
	// treated as non-idempotent.
	Idempotent []ServiceCall `json:"idempotent,omitempty"`
	// TimeoutMillis bounds one call.
	TimeoutMillis int64 `json:"timeoutMillis"`
}

// ServiceCall selects calls of a service by method and path.
type ServiceCall struct {
	Method string `json:"method"`
	// Path is an exact path, or a path prefix if it ends in "/*".
	Path string `json:"path"`
}

// Matches reports whether the call selects the method and path.
func (c ServiceCall) Matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(c.Path, "/*"); ok {
		return strings.HasPrefix(path, prefix+"/")
	}
	return c.Path == path
}

// IsIdempotent reports whether the spec declares the call as idempotent.
func (s *ServiceSpec) IsIdempotent(method, path string) bool {
	for _, call := range s.Idempotent {
		if call.Matches(method, path) {
			return true
		}
	}
	return false
}

// HostSpec declares properties of an endpoint host that the platform's host list
// does not contain.
type HostSpec struct {
	// ChecksFencing is true if the endpoint refuses an order with an old fencing
	// token.
	ChecksFencing bool `json:"checksFencing"`
	// Drain requests that the host receives no new work.
	Drain bool `json:"drain,omitempty"`
}

// NodeSpec is empty: nodes register themselves and are read-only.
type NodeSpec struct{}

// Kind implements Spec.
func (*ReplicaGroupSpec) Kind() Kind { return KindReplicaGroup }

// Kind implements Spec.
func (*ClientAccountSpec) Kind() Kind { return KindClientAccount }

// Kind implements Spec.
func (*RankSpec) Kind() Kind { return KindRank }

// Kind implements Spec.
func (*ServiceSpec) Kind() Kind { return KindService }

// Kind implements Spec.
func (*HostSpec) Kind() Kind { return KindHost }

// Kind implements Spec.
func (*NodeSpec) Kind() Kind { return KindNode }

// Validate returns every invalid field of the object, in its name and its spec.
func (o *Object) Validate() []FieldError {
	var fieldErrors []FieldError
	name := o.Metadata.Name
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		fieldErrors = append(fieldErrors, FieldError{"metadata.name", fmt.Sprintf("%q is not a name: use 1 to %d of a-z, 0-9, '-' and '.', starting and ending with a letter or digit", name, MaxNameLength)})
	}
	if o.Spec == nil {
		return append(fieldErrors, FieldError{"spec", "is missing"})
	}
	return append(fieldErrors, o.Spec.Validate()...)
}

// Validate implements Spec.
func (s *ReplicaGroupSpec) Validate() []FieldError {
	var c checker
	c.require(s.Model != "", "spec.model", "is empty: name the model that the group serves")
	c.require(s.ModelVersion != "", "spec.modelVersion", "is empty: name the version of the weights")
	c.require(s.FailureDomain != "", "spec.failureDomain", "is empty: name the failure domain whose hosts the group may use")
	c.require(s.Members >= 1 && s.Members <= MaxGroupMembers, "spec.members", fmt.Sprintf("is %d: use 1 to %d hosts", s.Members, MaxGroupMembers))
	c.require(s.Worth >= 0, "spec.worth", "is negative: use 0 or more")
	return c.fieldErrors
}

// Validate implements Spec.
func (s *ClientAccountSpec) Validate() []FieldError {
	var c checker
	c.require(len(s.KeyHashes) > 0, "spec.keyHashes", "is empty: add the SHA-256 hash of at least one bearer key")
	for i, hash := range s.KeyHashes {
		c.require(keyHashPattern.MatchString(hash), fmt.Sprintf("spec.keyHashes[%d]", i), "is not a SHA-256 hash: use 64 lower-case hex digits")
	}
	c.require(len(s.Ranks) > 0, "spec.ranks", "is empty: name the ranks that the account may use")
	c.require(s.TokensPerSecond > 0, "spec.tokensPerSecond", "must be above 0")
	c.require(s.BurstTokens > 0, "spec.burstTokens", "must be above 0")
	c.require(s.MaxInFlight > 0, "spec.maxInFlight", "must be above 0")
	c.require(s.Class == AccountLarge || s.Class == AccountSmall, "spec.class", fmt.Sprintf("is %q: use %q or %q", s.Class, AccountLarge, AccountSmall))
	return c.fieldErrors
}

// Validate implements Spec.
func (s *RankSpec) Validate() []FieldError {
	var c checker
	c.require(s.Priority >= 0, "spec.priority", "is negative: 0 is the most urgent rank")
	c.require(s.FirstTokenTargetMillis > 0, "spec.firstTokenTargetMillis", "must be above 0")
	c.require(s.InterTokenTargetMillis > 0, "spec.interTokenTargetMillis", "must be above 0")
	c.require(s.FloorShare >= 0 && s.FloorShare < 1, "spec.floorShare", "must be at least 0 and below 1")
	c.require(s.QueueBound > 0, "spec.queueBound", "must be above 0")
	c.require(s.RetryShare >= 0 && s.RetryShare <= 1, "spec.retryShare", "must lie between 0 and 1")
	c.require(s.MaxAttempts >= 1, "spec.maxAttempts", "must be at least 1")
	c.require(s.Objective > 0 && s.Objective < 1, "spec.objective", "must lie between 0 and 1, both excluded")
	return c.fieldErrors
}

// Validate implements Spec.
func (s *ServiceSpec) Validate() []FieldError {
	var c checker
	c.require(len(s.Hosts) > 0, "spec.hosts", "is empty: name the hosts that run the service")
	c.require(s.TimeoutMillis > 0, "spec.timeoutMillis", "must be above 0")
	for i, call := range s.Idempotent {
		c.require(call.Method != "", fmt.Sprintf("spec.idempotent[%d].method", i), "is empty: name the HTTP method")
		c.require(strings.HasPrefix(call.Path, "/"), fmt.Sprintf("spec.idempotent[%d].path", i), "must start with /")
	}
	return c.fieldErrors
}

// Validate implements Spec.
func (*HostSpec) Validate() []FieldError { return nil }

// Validate implements Spec.
func (*NodeSpec) Validate() []FieldError {
	return []FieldError{{"kind", "Node is read-only: nodes register themselves"}}
}

// checker collects the invalid fields of a spec.
type checker struct{ fieldErrors []FieldError }

// require adds an error for the field unless ok is true.
func (c *checker) require(ok bool, field, message string) {
	if !ok {
		c.fieldErrors = append(c.fieldErrors, FieldError{Field: field, Message: message})
	}
}
