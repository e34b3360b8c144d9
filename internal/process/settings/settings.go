// Package settings reads the settings of a node from an INI file and checks them
// as a whole. It only blocks on reading files.
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
	// MemoryMB is the memory that the process may use, in megabytes; 0 if not set.
	MemoryMB int
}

// Listener is one HTTP listener with its limits. Sections [callers], [peers]
// and [operators].
type Listener struct {
	// Address is host:port to listen on.
	Address string
	// CertFile and KeyFile enable TLS when both are set.
	CertFile       string
	KeyFile        string
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle keep-alive connection stays open.
	IdleTimeout time.Duration
	// MaxStreams limits the concurrent requests on the listener.
	MaxStreams int
	// MaxConnections limits the connections; 0 derives the limit from the descriptors.
	MaxConnections int
	// BodyTimeout is the longest time without a byte of a body.
	BodyTimeout time.Duration
	// WriteTimeout limits the time for each 64 KB of an answer.
	WriteTimeout time.Duration
}

// Peers configures the listener for other nodes. Section [peers].
type Peers struct {
	Listener
	// Key is the shared key that peers present; it may come from a file.
	Key string
	// Seeds are peer addresses used when the session rows cannot be read.
	Seeds []string
	// CAFile contains the certificates that verify peers when TLS is on.
	CAFile string
}

// Operators configures the listener of the resource API. Section [operators].
type Operators struct {
	Listener
	// Users maps operator names to SHA-256 hashes, in hex, of their tokens.
	Users map[string]string
}

// Platform configures access to the platform's services. Section [platform].
type Platform struct {
	// URL is the base URL of the table service, host list and object store.
	URL string
	// CallTimeout limits one call to the platform.
	CallTimeout time.Duration
	// LoadTime is the expected time to load the weights of one group.
	LoadTime time.Duration
	// ConcurrentLoads is the number of groups of one failure domain that may
	// load weights at the same time.
	ConcurrentLoads int
}

// Timing configures intervals and timeouts. Section [timing].
type Timing struct {
	// LeaseTTL is how long a session stays valid after a renewal was sent.
	LeaseTTL time.Duration
	// LeaseRenewInterval is the interval between renewals of the session.
	LeaseRenewInterval time.Duration
	// HeadPollInterval is the mean interval between reads of the configuration head.
	HeadPollInterval time.Duration
	// PeerProbeInterval is the interval between probes of peers.
	PeerProbeInterval time.Duration
	// PeerTimeout is how long a silent peer counts as live.
	PeerTimeout time.Duration
	// HostListPollInterval is the interval between reads of the platform's host list.
	HostListPollInterval time.Duration
	// HealthProbeInterval is the interval between probes of endpoint hosts.
	HealthProbeInterval time.Duration
	// MaxHealthAge is the age at which an observation of a host no longer counts.
	MaxHealthAge time.Duration
	// OrderTimeout limits one order to an endpoint.
	OrderTimeout time.Duration
	// IsolationTimeout is how long a node may reach neither the table service nor a
	// peer before it refuses work.
	IsolationTimeout time.Duration
	// SharePresenceTimeout is how long a node must be unreachable before its cap
	// shares are reclaimed. The node itself gives them up after the same time.
	SharePresenceTimeout time.Duration
	// DrainTimeout is how long a stopping node waits for its requests to end.
	DrainTimeout time.Duration
	// RequestTimeout is the longest time that one request may take. The
	// in-flight slots of a lost node are reclaimed only after this time.
	RequestTimeout time.Duration
}

// Log configures logging. Section [log].
type Log struct {
	// Level is a logrus level name.
	Level string
}
