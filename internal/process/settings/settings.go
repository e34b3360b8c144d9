// Package settings holds the settings of a node, read from an INI file and
// checked as a whole.
package settings

import "time"

// Settings is the checked content of a settings file.
type Settings struct {
	Node      Node
	Callers   Listener
	Peers     Peers
	Operators Operators
	Platform  Platform
	Timing    Timing
	Log       Log
}

// Node identifies the entry node. Section [node].
type Node struct {
	Name          string
	Region        string
	FailureDomain string
}

// Listener is one HTTP listener with its bounds. Sections [callers], [peers]
// and [operators].
type Listener struct {
	// Address is host:port to listen on.
	Address string
	// CertFile and KeyFile enable TLS when both are set.
	CertFile       string
	KeyFile        string
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout bounds reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds an idle kept-alive connection.
	IdleTimeout time.Duration
	// MaxStreams bounds concurrent requests on the listener.
	MaxStreams int
}

// Peers configures the listener for other nodes.
type Peers struct {
	Listener
	// Key is the shared key that peers present; it may come from a file.
	Key string
	// Seeds are peer addresses used when the session rows cannot be read.
	Seeds []string
	// CAFile verifies peers when TLS is on.
	CAFile string
}

// Operators configures the resource API listener.
type Operators struct {
	Listener
	// Users maps operator names to SHA-256 hashes, in hex, of their tokens.
	Users map[string]string
}

// Platform locates the platform's services.
type Platform struct {
	// URL is the base URL of the table service, host list and object store.
	URL string
	// CallTimeout bounds one call.
	CallTimeout time.Duration
	// LoadTime is the expected time to load the weights of one group.
	LoadTime time.Duration
	// ConcurrentLoads is the number of groups of one failure domain that may
	// load weights at the same time.
	ConcurrentLoads int
}

// Timing holds periods and timeouts.
type Timing struct {
	// LeaseTTL is how long a session stays valid after a renewal was sent.
	LeaseTTL time.Duration
	// LeaseRenew is the period of renewals.
	LeaseRenew time.Duration
	// HeadPoll is the mean period of reading the configuration head.
	HeadPoll time.Duration
	// PeerProbe is the period of probing peers.
	PeerProbe time.Duration
	// PeerTimeout is how long a silent peer counts as live.
	PeerTimeout time.Duration
	// HostListPoll is the period of reading the platform's host list.
	HostListPoll time.Duration
	// HealthProbe is the period of probing endpoint hosts.
	HealthProbe time.Duration
	// HealthBound is the age at which an observation no longer counts.
	HealthBound time.Duration
	// OrderTimeout bounds an order to an endpoint.
	OrderTimeout time.Duration
	// Isolation is how long a node may reach neither the table service nor a
	// peer before it refuses work.
	Isolation time.Duration
	// ShareVoid is how long a node must be unreachable before its cap shares
	// are reclaimed, and after which it gives them up by itself.
	ShareVoid time.Duration
	// DrainTimeout bounds how long a stopping node waits for requests.
	DrainTimeout time.Duration
	// RequestLimit is the longest time of one request. The in-flight slots of
	// a lost node are reclaimed only after it.
	RequestLimit time.Duration
}

// Log configures logging. Section [log].
type Log struct {
	// Level is a logrus level name.
	Level string
}
