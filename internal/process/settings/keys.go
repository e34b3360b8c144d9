package settings

import "time"

// Section names.
const (
	sectionNode      = "node"
	sectionCallers   = "callers"
	sectionPeers     = "peers"
	sectionOperators = "operators"
	sectionPlatform  = "platform"
	sectionTiming    = "timing"
	sectionLog       = "log"
)

// userPrefix is the prefix of the keys of operators: user.NAME = SHA-256 hash.
const userPrefix = "user."

// Bounds of settings.
const (
	// minDuration is the lower bound of all durations.
	minDuration = 10 * time.Millisecond
	// maxInterval is the upper bound of intervals and of the durations in the
	// section [platform].
	maxInterval = time.Minute
	// maxTimeout is the upper bound of all other durations.
	maxTimeout = 24 * time.Hour

	minBodyBytes   = 1 << 10
	maxBodyBytes   = 1 << 30
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxStreams     = 1 << 20
	maxMemoryMB    = 1 << 24

	// minKeyBytes is the minimum length of the peer key.
	minKeyBytes = 16
)

// key describes one setting. docs/SETTINGS.md lists them all.
type key struct {
	section  string
	name     string
	required bool
	// defaultValue is the value of an absent key that is not required.
	defaultValue string
	unit         string
	description  string
	// secret keeps the value out of faults.
	secret bool
	parse  parser
}

// allKeys returns every setting except the user.NAME keys.
func allKeys() []key {
	var keys []key
	keys = append(keys, nodeKeys()...)
	keys = append(keys, listenerKeys(sectionCallers, "4194304", "10000", func(s *Settings) *Listener { return &s.Callers })...)
	keys = append(keys, listenerKeys(sectionPeers, "16777216", "20000", func(s *Settings) *Listener { return &s.Peers.Listener })...)
	keys = append(keys, peerKeys()...)
	keys = append(keys, listenerKeys(sectionOperators, "4194304", "200", func(s *Settings) *Listener { return &s.Operators.Listener })...)
	keys = append(keys, operatorKeys()...)
	keys = append(keys, platformKeys()...)
	keys = append(keys, timingKeys()...)
	return append(keys, logKeys()...)
}

func nodeKeys() []key {
	return []key{
		{section: sectionNode, name: "name", required: true, unit: "name", description: "name of the node, unique in the fleet", parse: parseName(func(s *Settings) *string { return &s.Node.Name })},
		{section: sectionNode, name: "region", required: true, unit: "name", description: "region of the node", parse: parseName(func(s *Settings) *string { return &s.Node.Region })},
		{section: sectionNode, name: "failure_domain", required: true, unit: "name", description: "failure domain of the node", parse: parseName(func(s *Settings) *string { return &s.Node.FailureDomain })},
		{section: sectionNode, name: "memory_mb", defaultValue: "0", unit: "megabytes", description: "memory that the process may use; 0: no limit of the whole, and as much for bodies and answers as with 256", parse: parseInteger(func(s *Settings) *int { return &s.Node.MemoryMB }, 0, maxMemoryMB)},
	}
}

// listenerKeys returns the keys that all listeners have.
func listenerKeys(section, defaultMaxBodyBytes, defaultMaxStreams string, listener func(*Settings) *Listener) []key {
	listenerText := func(field func(*Listener) *string) func(*Settings) *string {
		return func(s *Settings) *string { return field(listener(s)) }
	}
	address := listenerText(func(l *Listener) *string { return &l.Address })
	parse := parseAddress(address)
	if section == sectionPeers {
		parse = parsePeerAddress(address)
	}
	return []key{
		{section: section, name: "address", required: true, unit: "IP:port", description: "address to listen on", parse: parse},
		{section: section, name: "cert_file", unit: "path", description: "TLS certificate; TLS is on when both files are set", parse: parseText(listenerText(func(l *Listener) *string { return &l.CertFile }))},
		{section: section, name: "cert_key_file", unit: "path", description: "private key of the certificate", parse: parseText(listenerText(func(l *Listener) *string { return &l.KeyFile }))},
		{section: section, name: "max_body_bytes", defaultValue: defaultMaxBodyBytes, unit: "bytes", description: "largest request body", parse: parseInteger(func(s *Settings) *int64 { return &listener(s).MaxBodyBytes }, minBodyBytes, maxBodyBytes)},
		{section: section, name: "max_header_bytes", defaultValue: "65536", unit: "bytes", description: "largest request header", parse: parseInteger(func(s *Settings) *int { return &listener(s).MaxHeaderBytes }, minHeaderBytes, maxHeaderBytes)},
		{section: section, name: "header_timeout", defaultValue: "5s", unit: "duration", description: "time limit for reading a request header", parse: parseDuration(func(s *Settings) *time.Duration { return &listener(s).HeaderTimeout }, minDuration, maxTimeout)},
		{section: section, name: "idle_timeout", defaultValue: "1m", unit: "duration", description: "time limit for an idle connection that is kept alive", parse: parseDuration(func(s *Settings) *time.Duration { return &listener(s).IdleTimeout }, minDuration, maxTimeout)},
		{section: section, name: "max_streams", defaultValue: defaultMaxStreams, unit: "requests", description: "maximum number of concurrent requests", parse: parseInteger(func(s *Settings) *int { return &listener(s).MaxStreams }, 1, maxStreams)},
		{section: section, name: "max_connections", defaultValue: "0", unit: "connections", description: "maximum number of open connections; 0: a part of the descriptors that the process may have", parse: parseInteger(func(s *Settings) *int { return &listener(s).MaxConnections }, 0, maxStreams)},
		{section: section, name: "body_timeout", defaultValue: "10s", unit: "duration", description: "longest time without a byte of a request body", parse: parseDuration(func(s *Settings) *time.Duration { return &listener(s).BodyTimeout }, minDuration, maxTimeout)},
		{section: section, name: "write_timeout", defaultValue: "10s", unit: "duration", description: "time limit for each 64 KB of an answer that the other side takes", parse: parseDuration(func(s *Settings) *time.Duration { return &listener(s).WriteTimeout }, minDuration, maxTimeout)},
	}
}

func peerKeys() []key {
	return []key{
		{section: sectionPeers, name: "key", unit: "text", secret: true, description: "shared key of all nodes, at least 16 bytes; this or key_file is required", parse: parseText(func(s *Settings) *string { return &s.Peers.Key })},
		{section: sectionPeers, name: "key_file", unit: "path", description: "file that holds the shared key; surrounding white space is dropped", parse: readKeyFile},
		{section: sectionPeers, name: "seeds", unit: "IP:port, …", description: "peer addresses for a start while the table service is down", parse: parseSeeds},
		{section: sectionPeers, name: "ca_file", unit: "path", description: "certificates that verify other nodes when TLS is on", parse: parseText(func(s *Settings) *string { return &s.Peers.CAFile })},
	}
}

func operatorKeys() []key {
	return []key{
		{section: sectionOperators, name: "users_file", unit: "path", description: "file with a line NAME = SHA-256 hash for each operator; this or user.NAME is required", parse: readUsersFile},
	}
}

// maxConcurrentLoads is the upper bound of the setting concurrent_loads, in groups.
const maxConcurrentLoads = 1000

func platformKeys() []key {
	return []key{
		{section: sectionPlatform, name: "url", required: true, unit: "URL", description: "base URL of the table service, host list and object store", parse: parseURL(func(s *Settings) *string { return &s.Platform.URL })},
		{section: sectionPlatform, name: "call_timeout", defaultValue: "2s", unit: "duration", description: "time limit for one call to the platform", parse: parseDuration(func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }, minDuration, maxInterval)},
		{section: sectionPlatform, name: "load_time", defaultValue: "1m", unit: "duration", description: "expected time to load the weights of one replica group", parse: parseDuration(func(s *Settings) *time.Duration { return &s.Platform.LoadTime }, minDuration, maxInterval)},
		{section: sectionPlatform, name: "concurrent_loads", defaultValue: "4", unit: "groups", description: "replica groups of one failure domain that may load weights at the same time", parse: parseInteger(func(s *Settings) *int { return &s.Platform.ConcurrentLoads }, 1, maxConcurrentLoads)},
	}
}

func timingKeys() []key {
	interval := func(name, defaultValue, description string, field func(*Timing) *time.Duration) key {
		return key{section: sectionTiming, name: name, defaultValue: defaultValue, unit: "duration", description: description,
			parse: parseDuration(func(s *Settings) *time.Duration { return field(&s.Timing) }, minDuration, maxInterval)}
	}
	timeout := func(name, defaultValue, description string, field func(*Timing) *time.Duration) key {
		return key{section: sectionTiming, name: name, defaultValue: defaultValue, unit: "duration", description: description,
			parse: parseDuration(func(s *Settings) *time.Duration { return field(&s.Timing) }, minDuration, maxTimeout)}
	}
	return []key{
		timeout("lease_ttl", "10s", "how long a session is valid after its renewal was sent", func(t *Timing) *time.Duration { return &t.LeaseTTL }),
		interval("lease_renew", "3s", "interval between renewals of the session; below lease_ttl", func(t *Timing) *time.Duration { return &t.LeaseRenewInterval }),
		interval("head_poll", "1s", "mean interval between reads of the configuration head", func(t *Timing) *time.Duration { return &t.HeadPollInterval }),
		interval("peer_probe", "500ms", "interval between probes of peers", func(t *Timing) *time.Duration { return &t.PeerProbeInterval }),
		timeout("peer_timeout", "6s", "how long a silent peer counts as live; above peer_probe", func(t *Timing) *time.Duration { return &t.PeerTimeout }),
		interval("host_list_poll", "1s", "interval between reads of the host list", func(t *Timing) *time.Duration { return &t.HostListPollInterval }),
		interval("health_probe", "500ms", "interval between probes of endpoint hosts", func(t *Timing) *time.Duration { return &t.HealthProbeInterval }),
		timeout("health_bound", "2s", "age at which an observation of a host no longer counts; above health_probe", func(t *Timing) *time.Duration { return &t.MaxHealthAge }),
		timeout("order_timeout", "10s", "time limit for an order to an endpoint", func(t *Timing) *time.Duration { return &t.OrderTimeout }),
		timeout("isolation", "10s", "how long a node without table service and peers accepts work; above peer_timeout", func(t *Timing) *time.Duration { return &t.IsolationTimeout }),
		timeout("share_void", "1m", "how long a node is unreachable before its cap shares are reclaimed; above lease_ttl", func(t *Timing) *time.Duration { return &t.SharePresenceTimeout }),
		timeout("drain_timeout", "10m", "how long a stopping node waits for its requests", func(t *Timing) *time.Duration { return &t.DrainTimeout }),
		timeout("request_limit", "5m", "longest time of one request; the slots of a lost node come back after it", func(t *Timing) *time.Duration { return &t.RequestTimeout }),
	}
}

func logKeys() []key {
	return []key{
		{section: sectionLog, name: "level", defaultValue: "info", unit: "level", description: "lowest level that is logged", parse: parseLevel(func(s *Settings) *string { return &s.Log.Level })},
	}
}
