package gateway

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"currantladder.example/currantladder/internal/process/settings"
)

// Settings are the settings of a node of a managed deployment.
type Settings struct {
	// Node is the name of the node, unique in the fleet. Region and FailureDomain
	// are where it runs.
	Node          string
	Region        string
	FailureDomain string
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	// Callers, Ready, Peers and Metrics are addresses to listen on, as
	// IP:port. Metrics may be empty.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// Seeds are the addresses, as IP:port, of peers that are tried before any
	// other is known. They may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// RetryRatio and RetrySlack limit the retries of all nodes within a window:
	// a share of the requests, and a number in addition.
	RetryRatio float64
	RetrySlack float64
	// ColdOver and ColdSlack limit what all nodes together send to a cold host in any
	// second: the service's rate for cold hosts times ColdOver, plus ColdSlack. A
	// ColdOver of 0 is no limit.
	ColdOver  float64
	ColdSlack float64
	// StopTime is the longest time from SIGTERM to the end of the process.
	StopTime time.Duration
	// ProcessorShare is the share of a processor core that the node may use. The
	// node with the largest share is the hub of its failure domain.
	ProcessorShare float64
	// MemoryMB is the memory that the process may use.
	MemoryMB int
	// Coordinate is whether nodes ask one of them for the group of a request.
	Coordinate placingMode
	// MaxConnections limits the connections of callers; 0 derives the limit from descriptors
	// and memory.
	MaxConnections int
	// MaxHeaderBytes and HeaderTimeout limit the header of a request, and IdleTimeout an
	// idle connection.
	MaxHeaderBytes             int
	HeaderTimeout, IdleTimeout time.Duration
	// BodyTimeout is the longest time without a byte of a body, and WriteTimeout the time
	// for 64 KB of an answer.
	BodyTimeout, WriteTimeout time.Duration
	// LogLevel is a logrus level name.
	LogLevel string
}

// setting is one key of the settings file.
type setting struct {
	section, name string
	required      bool
	defaultValue  string
	// description is the text in docs/SETTINGS-GATEWAY.md.
	description string
	parse       func(s *Settings, value string) error
}

// settingsKeys returns every key of the settings file.
func settingsKeys() []setting {
	text := func(field func(*Settings) *string) func(*Settings, string) error {
		return func(s *Settings, v string) error { *field(s) = v; return nil }
	}
	address := func(field func(*Settings) *string) func(*Settings, string) error {
		return func(s *Settings, v string) error {
			if _, err := netip.ParseAddrPort(v); err != nil {
				return fmt.Errorf("write an IP address and a port, such as 10.0.0.1:8000: %w", err)
			}
			*field(s) = v
			return nil
		}
	}
	number := func(field func(*Settings) *float64) func(*Settings, string) error {
		return func(s *Settings, v string) error {
			f, err := strconv.ParseFloat(v, 64)
			if err != nil || f < 0 {
				return fmt.Errorf("write a number of 0 or more")
			}
			*field(s) = f
			return nil
		}
	}
	integer := func(field func(*Settings) *int, least int) func(*Settings, string) error {
		return func(s *Settings, v string) error {
			n, err := strconv.Atoi(v)
			if err != nil || n < least {
				return fmt.Errorf("write a whole number of %d or more", least)
			}
			*field(s) = n
			return nil
		}
	}
	duration := func(field func(*Settings) *time.Duration) func(*Settings, string) error {
		return func(s *Settings, v string) error {
			d, err := time.ParseDuration(v)
			if err != nil || d <= 0 {
				return fmt.Errorf("write a duration, such as 8s")
			}
			*field(s) = d
			return nil
		}
	}
	return []setting{
		{"node", "name", true, "", "name of the node, unique in the fleet", text(func(s *Settings) *string { return &s.Node })},
		{"node", "region", false, "", "region of the node", text(func(s *Settings) *string { return &s.Region })},
		{"node", "failure_domain", true, "", "failure domain of the node; hosts of the same one are preferred", text(func(s *Settings) *string { return &s.FailureDomain })},
		{"node", "first_start", false, "false", "true where the whole fleet starts for the first time: loads of weights are quick then", func(s *Settings, v string) (err error) {
			if s.FirstStart, err = strconv.ParseBool(v); err != nil {
				return fmt.Errorf("write true or false")
			}
			return nil
		}},
		{"node", "memory_mb", false, "256", "megabytes of memory that the process may use", integer(func(s *Settings) *int { return &s.MemoryMB }, minMemoryMB)},
		{"node", "processor_share", false, "1", "part of a processor core; the node with the largest share is the hub of its failure domain", number(func(s *Settings) *float64 { return &s.ProcessorShare })},
		{"node", "stop_time", false, "8s", "time from SIGTERM to the end of the process at the latest", duration(func(s *Settings) *time.Duration { return &s.StopTime })},
		{"listen", "callers", true, "", "IP:port for callers", address(func(s *Settings) *string { return &s.Callers })},
		{"listen", "ready", true, "", "IP:port of the readiness check, GET /readyz", address(func(s *Settings) *string { return &s.Ready })},
		{"listen", "peers", true, "", "IP:port for other nodes, TCP and UDP", address(func(s *Settings) *string { return &s.Peers })},
		{"listen", "metrics", false, "", "IP:port of GET /metrics; none without it", address(func(s *Settings) *string { return &s.Metrics })},
		{"callers", "max_connections", false, "0", "connections of callers; 0: two fifths of the descriptors, and at most what an eighth of the memory holds", integer(func(s *Settings) *int { return &s.MaxConnections }, 0)},
		{"callers", "max_header_bytes", false, "65536", "largest request header, on every listener", integer(func(s *Settings) *int { return &s.MaxHeaderBytes }, minHeaderBytes)},
		{"callers", "header_timeout", false, "10s", "time limit for reading a request header, on every listener", duration(func(s *Settings) *time.Duration { return &s.HeaderTimeout })},
		{"callers", "idle_timeout", false, "2m", "time limit for an idle connection, on every listener", duration(func(s *Settings) *time.Duration { return &s.IdleTimeout })},
		{"callers", "body_timeout", false, "10s", "longest time without a byte of a request body; the body ends with the request's time limit, too", duration(func(s *Settings) *time.Duration { return &s.BodyTimeout })},
		{"callers", "write_timeout", false, "10s", "time limit for each 64 KB of an answer that a caller takes, on every listener", duration(func(s *Settings) *time.Duration { return &s.WriteTimeout })},
		{"peers", "seeds", false, "", "IP:port, separated by commas, of peers that are tried before others are known", func(s *Settings, v string) error {
			for part := range strings.SplitSeq(v, ",") {
				if _, err := netip.ParseAddrPort(strings.TrimSpace(part)); err != nil {
					return fmt.Errorf("write IP:port, separated by commas: %w", err)
				}
				s.Seeds = append(s.Seeds, strings.TrimSpace(part))
			}
			return nil
		}},
		{"store", "address", true, "", "IP:port of the platform's store", address(func(s *Settings) *string { return &s.Store })},
		{"retry", "ratio", false, "0.1", "retries of all nodes, as a share of the requests within 10 s", number(func(s *Settings) *float64 { return &s.RetryRatio })},
		{"retry", "slack", false, "20", "retries of all nodes within 10 s in addition", number(func(s *Settings) *float64 { return &s.RetrySlack })},
		{"cold", "over", false, "", "requests of all nodes to a cold host in any second, as a multiple of the service's rate for cold hosts; no limit without it", number(func(s *Settings) *float64 { return &s.ColdOver })},
		{"cold", "slack", false, "0", "requests of all nodes to a cold host in any second in addition", number(func(s *Settings) *float64 { return &s.ColdSlack })},
		{"placing", "coordinate", false, string(placingAuto), "whether nodes ask one of them for the group of a request: `on`, `off`, or `auto` for fleets over 16 nodes whose long prompts can delay streams beyond every pause target", func(s *Settings, v string) error {
			s.Coordinate = placingMode(v)
			if s.Coordinate != placingAuto && s.Coordinate != placingOn && s.Coordinate != placingOff {
				return fmt.Errorf("write auto, on or off")
			}
			return nil
		}},
		{"log", "level", false, "info", "lowest level that is logged", text(func(s *Settings) *string { return &s.LogLevel })},
	}
}

// minMemoryMB is the smallest memory limit that a node accepts, and minHeaderBytes the
// smallest limit of a request header.
const (
	minMemoryMB    = 64
	minHeaderBytes = 1 << 10
)

// LoadSettings reads and checks a settings file. It returns a
// *settings.FaultsError that lists every fault, or the error of reading the file.
func LoadSettings(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the settings file: %w", err)
	}
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true, IgnoreContinuation: true}, content)
	if err != nil {
		return nil, &settings.FaultsError{Path: path, Faults: []settings.Fault{{Remedy: "write sections as [name] and settings as key = value: " + err.Error()}}}
	}
	s := &Settings{}
	var faults []settings.Fault
	known := map[string]bool{}
	for _, k := range settingsKeys() {
		known[k.section+"."+k.name] = true
		value := strings.TrimSpace(file.Section(k.section).Key(k.name).String())
		if value == "" && k.required {
			faults = append(faults, settings.Fault{Section: k.section, Key: k.name, Remedy: "is required: set it"})
			continue
		}
		if value == "" {
			value = k.defaultValue
		}
		if value == "" {
			continue
		}
		if err := k.parse(s, value); err != nil {
			faults = append(faults, settings.Fault{Section: k.section, Key: k.name, Value: value, Remedy: err.Error()})
		}
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !known[section.Name()+"."+key.Name()] {
				faults = append(faults, settings.Fault{Section: section.Name(), Key: key.Name(), Remedy: "the key is unknown: remove it, or see docs/SETTINGS-GATEWAY.md"})
			}
		}
	}
	if len(faults) > 0 {
		return nil, &settings.FaultsError{Path: path, Faults: faults}
	}
	return s, nil
}

// IsManagedSettings reports whether a file contains the settings of a managed
// node. They have a section [store]; the settings of a node with declared
// groups do not.
func IsManagedSettings(path string) bool {
	file, err := ini.Load(path)
	return err == nil && file.HasSection("store")
}
