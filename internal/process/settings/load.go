package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// redactedValue replaces the value of a secret in a fault.
const redactedValue = "(hidden)"

// Load reads and checks a settings file. Relative paths in the file are relative
// to its directory. The error is a *FaultsError that lists every fault, or an
// error of reading the file.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the settings file: %w", err)
	}
	s, faults := parse(content, filepath.Dir(path))
	if len(faults) > 0 {
		return nil, &FaultsError{Path: path, Faults: faults}
	}
	return s, nil
}

// parse reads settings from INI content and returns every fault. Relative paths
// are relative to dir.
func parse(content []byte, dir string) (*Settings, []Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{
		SpaceBeforeInlineComment:   true,
		IgnoreContinuation:         true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
	}, content)
	if err != nil {
		return nil, []Fault{{Remedy: "write sections as [name] and settings as key = value: " + err.Error()}}
	}
	l := &loader{file: file, dir: dir, settings: &Settings{}}
	l.settings.Operators.Users = make(map[string]string)
	l.load()
	return l.settings, l.faults
}

// loader reads one file and collects its settings and faults.
type loader struct {
	file     *ini.File
	dir      string
	settings *Settings
	faults   []Fault
}

func (l *loader) addFault(section, key, value, remedy string) {
	l.faults = append(l.faults, Fault{Section: section, Key: key, Value: value, Remedy: remedy})
}

func (l *loader) load() {
	keys := allKeys()
	l.rejectUnknown(keys)
	for _, k := range keys {
		l.loadKey(k)
	}
	l.loadUsers()
	l.checkListeners()
	l.checkSecrets()
	l.checkTiming()
}

// rejectUnknown records a fault for each unknown section or key and for each key
// that is set twice.
func (l *loader) rejectUnknown(keys []key) {
	known := make(map[string][]string)
	for _, k := range keys {
		known[k.section] = append(known[k.section], k.name)
	}
	for _, section := range l.file.Sections() {
		names, ok := known[section.Name()]
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !ok {
			l.addFault(section.Name(), "", "", "the section is unknown: use node, callers, peers, operators, platform, timing or log")
			continue
		}
		for _, k := range section.Keys() {
			isUser := section.Name() == sectionOperators && strings.HasPrefix(k.Name(), userPrefix)
			if !isUser && !slices.Contains(names, k.Name()) {
				l.addFault(section.Name(), k.Name(), "", "the key is unknown: use one of "+strings.Join(names, ", "))
			}
			if len(k.ValueWithShadows()) > 1 {
				l.addFault(section.Name(), k.Name(), "", "the key is set twice: keep one")
			}
		}
	}
}

// value returns the raw value of a key, or "" if the key is absent.
func (l *loader) value(section, name string) string {
	s, err := l.file.GetSection(section)
	if err != nil || !s.HasKey(name) {
		return ""
	}
	return s.Key(name).Value()
}

func (l *loader) loadKey(k key) {
	value := l.value(k.section, k.name)
	if value == "" && k.required {
		l.addFault(k.section, k.name, "", fmt.Sprintf("is required: set the %s (%s)", k.description, k.unit))
		return
	}
	if value == "" {
		value = k.defaultValue
	}
	if value == "" {
		return
	}
	if k.unit == "path" && !filepath.IsAbs(value) {
		value = filepath.Join(l.dir, value)
	}
	if err := k.parse(l.settings, value); err != nil {
		if k.secret {
			value = redactedValue
		}
		l.addFault(k.section, k.name, value, err.Error())
	}
}

func (l *loader) loadUsers() {
	section, err := l.file.GetSection(sectionOperators)
	if err != nil {
		return
	}
	for _, k := range section.Keys() {
		name, ok := strings.CutPrefix(k.Name(), userPrefix)
		if !ok {
			continue
		}
		if err := addUser(l.settings, name, k.Value()); err != nil {
			l.addFault(sectionOperators, k.Name(), redactedValue, err.Error())
		}
	}
}

func (l *loader) checkListeners() {
	l.checkTLS(sectionCallers, l.settings.Callers)
	l.checkTLS(sectionPeers, l.settings.Peers.Listener)
	l.checkTLS(sectionOperators, l.settings.Operators.Listener)
	if l.settings.Peers.CAFile != "" {
		l.checkFile(sectionPeers, "ca_file", l.settings.Peers.CAFile)
	}
	addresses := map[string]string{}
	for _, section := range []string{sectionCallers, sectionPeers, sectionOperators} {
		address := l.value(section, "address")
		if other, taken := addresses[address]; taken && address != "" && !strings.HasSuffix(address, ":0") {
			l.addFault(section, "address", address, "is also the address of ["+other+"]: use another port")
		}
		addresses[address] = section
	}
}

func (l *loader) checkTLS(section string, listener Listener) {
	if listener.CertFile != "" && listener.KeyFile == "" {
		l.addFault(section, "cert_key_file", "", "is required with cert_file: name the private key, or remove cert_file")
	}
	if listener.KeyFile != "" && listener.CertFile == "" {
		l.addFault(section, "cert_file", "", "is required with cert_key_file: name the certificate, or remove cert_key_file")
	}
	if listener.CertFile != "" {
		l.checkFile(section, "cert_file", listener.CertFile)
	}
	if listener.KeyFile != "" {
		l.checkFile(section, "cert_key_file", listener.KeyFile)
	}
}

func (l *loader) checkFile(section, key, path string) {
	if err := checkReadable(path); err != nil {
		l.addFault(section, key, path, err.Error())
	}
}

func (l *loader) checkSecrets() {
	peerKey := l.settings.Peers.Key
	if peerKey == "" && !l.hasFault(sectionPeers, "key_file") {
		l.addFault(sectionPeers, "key", "", "is required: set key, or key_file to a file that holds the key shared by all nodes")
	}
	if peerKey != "" && len(peerKey) < minKeyBytes {
		l.addFault(sectionPeers, "key", redactedValue, fmt.Sprintf("is too short: use at least %d bytes", minKeyBytes))
	}
	if len(l.settings.Operators.Users) == 0 && !l.hasUserFault(sectionOperators) {
		l.addFault(sectionOperators, "users_file", "", "is required: set users_file, or user.NAME to the SHA-256 hash of an operator's token")
	}
}

func (l *loader) hasFault(section, key string) bool {
	return slices.ContainsFunc(l.faults, func(f Fault) bool { return f.Section == section && f.Key == key })
}

// hasUserFault reports whether the section has a fault in its users or users_file.
func (l *loader) hasUserFault(section string) bool {
	return slices.ContainsFunc(l.faults, func(f Fault) bool {
		return f.Section == section && (f.Key == "users_file" || strings.HasPrefix(f.Key, userPrefix))
	})
}

// checkTiming records a fault for each pair of durations that do not fit
// together. A faulty duration is 0 here and already has its own fault.
func (l *loader) checkTiming() {
	t := l.settings.Timing
	l.requireLonger("lease_ttl", int64(t.LeaseTTL), "lease_renew", int64(t.LeaseRenewInterval))
	l.requireLonger("peer_timeout", int64(t.PeerTimeout), "peer_probe", int64(t.PeerProbeInterval))
	l.requireLonger("health_bound", int64(t.MaxHealthAge), "health_probe", int64(t.HealthProbeInterval))
	l.requireLonger("share_void", int64(t.SharePresenceTimeout), "lease_ttl", int64(t.LeaseTTL))
	l.requireLonger("isolation", int64(t.IsolationTimeout), "peer_timeout", int64(t.PeerTimeout))
}

// requireLonger records a fault unless longer exceeds shorter or one of them is 0.
func (l *loader) requireLonger(longer string, longerValue int64, shorter string, shorterValue int64) {
	if longerValue == 0 || shorterValue == 0 || longerValue > shorterValue {
		return
	}
	l.addFault(sectionTiming, longer, l.value(sectionTiming, longer), fmt.Sprintf("must be longer than %s: raise it, or lower %s", shorter, shorter))
}
