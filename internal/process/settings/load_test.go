package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const validFile = `
[node]
name = utr-1
region = nl-centraal
failure_domain = utr-hall1
[callers]
address = 127.0.0.1:8080
[peers]
address = 127.0.0.1:8081
key_file = peer.key
seeds = 127.0.0.1:8181, 127.0.0.1:8281
[operators]
address = 127.0.0.1:8082
user.anna = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
users_file = users
[platform]
url = http://127.0.0.1:7000/
[timing]
health_probe = 100ms ; faster than the default
`

// faultyFile has the faults that TestLoadListsEveryFault expects.
const faultyFile = `
stray = 1
[node]
name = UTR 1
region = nl-centraal
[callers]
address = localhost:8080
cert_file = missing.pem
max_streams = many
colour = red
[peers]
address = 0.0.0.0:8081
key = secret-that-is-short
key = short-secret
seeds = 127.0.0.1:8181, here
[operators]
address = 127.0.0.1:8082
user.anna = token-in-plain-text
[platform]
url = 127.0.0.1:7000
[timing]
lease_ttl = 3s
lease_renew = 3s
health_probe = 5s
share_void = 2s
isolation = 1s
drain_timeout = 10
peer_timeout = 300ms
[log]
level = loud
[extra]
`

func writeFiles(t testing.TB, settings string) string {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{
		"node.ini": settings,
		"peer.key": "  0123456789abcdef\n",
		"users":    "# operators\nbram = fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9\n",
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "node.ini")
}

func TestLoad(t *testing.T) {
	s, err := Load(writeFiles(t, validFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.Peers.Key != "0123456789abcdef" || len(s.Operators.Users) != 2 || s.Platform.URL != "http://127.0.0.1:7000" {
		t.Errorf("got %+v, want the key from peer.key, two operators and the URL without its last slash", s)
	}
	if s.Timing.HealthProbeInterval != 100*time.Millisecond || s.Timing.LeaseTTL != 10*time.Second {
		t.Errorf("got %+v, want health_probe from the file and the default lease_ttl", s.Timing)
	}
	if diff := cmp.Diff([]string{"127.0.0.1:8181", "127.0.0.1:8281"}, s.Peers.Seeds); diff != "" {
		t.Error(diff)
	}
}

func TestLoadListsEveryFault(t *testing.T) {
	_, err := Load(writeFiles(t, faultyFile))
	var faults *FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want a FaultsError", err)
	}
	got := make(map[string]bool)
	for _, fault := range faults.Faults {
		if fault.Remedy == "" {
			t.Errorf("fault %s: got no remedy, want one", fault)
		}
		got[fault.Section+" "+fault.Key] = true
	}
	want := make(map[string]bool)
	for _, id := range []string{
		"DEFAULT ", "extra ", "callers colour", "peers key", "node name", "node failure_domain",
		"callers address", "callers max_streams", "callers cert_key_file", "callers cert_file",
		"peers address", "peers seeds", "operators user.anna", "platform url", "timing lease_ttl",
		"timing health_bound", "timing share_void", "timing drain_timeout", "timing peer_timeout", "log level",
	} {
		want[id] = true
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
	for _, secret := range []string{"secret", "token-in-plain-text"} {
		if strings.Contains(err.Error(), secret) {
			t.Errorf("got an error that shows a secret: %v", err)
		}
	}
}

// docRow returns the table row of a key in docs/SETTINGS.md.
func docRow(k key) string {
	value := "`" + k.defaultValue + "`"
	switch {
	case k.required:
		value = "required"
	case k.defaultValue == "":
		value = "none"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |", k.name, value, k.unit, k.description)
}

// TestSettingsPageListsEveryKey verifies that docs/SETTINGS.md lists the keys with
// their defaults, units and descriptions, in the order of allKeys.
func TestSettingsPageListsEveryKey(t *testing.T) {
	content, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	section := ""
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "## ["); ok {
			section = strings.TrimSuffix(name, "]")
		}
		if strings.HasPrefix(line, "| `") {
			got = append(got, section+" "+line)
		}
	}
	var want []string
	for _, k := range allKeys() {
		want = append(want, k.section+" "+docRow(k))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("docs/SETTINGS.md (-code +page):\n%s", diff)
	}
}

func FuzzParse(f *testing.F) {
	inline := strings.Replace(validFile, "key_file = peer.key", "key = 0123456789abcdef", 1)
	f.Add([]byte(strings.Replace(inline, "users_file = users", "", 1)))
	f.Add([]byte(validFile))
	f.Add([]byte(faultyFile))
	f.Add([]byte("[node\nname"))
	f.Add([]byte("[peers]\nkey = a # b\nseeds = ,,\n[timing]\nlease_ttl = -1s\nlease_renew = 99999999999h"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, faults := parse(content, "missing")
		if len(faults) > 0 {
			return
		}
		if s.Node.Name == "" || s.Platform.URL == "" || len(s.Peers.Key) < minKeyBytes || len(s.Operators.Users) == 0 {
			t.Errorf("got no fault for settings without a required key: %+v", s)
		}
		if s.Timing.LeaseRenewInterval <= 0 || s.Timing.LeaseTTL <= s.Timing.LeaseRenewInterval {
			t.Errorf("got no fault for lease_ttl not above lease_renew: %+v", s.Timing)
		}
	})
}
