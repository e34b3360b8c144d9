package experiment

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func readTestSheet(t testing.TB, name string) *Sheet {
	t.Helper()
	s, err := ReadSheet(filepath.Join("..", "..", "deploy", "loads", name+".ini"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func testPolicy(t testing.TB, name string) Policy {
	t.Helper()
	for _, p := range Policies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy is named %s", name)
	return Policy{}
}

// TestRunIsDeterministic verifies that a run depends on its sheet and policy
// alone.
func TestRunIsDeterministic(t *testing.T) {
	t.Parallel()
	s := readTestSheet(t, "storm")
	s.Run.Length = 5 * time.Second
	var texts [2]string
	for i := range texts {
		r, err := Run(context.Background(), s, testPolicy(t, "product"), nil)
		if err != nil {
			t.Fatal(err)
		}
		var table bytes.Buffer
		if err := WriteTable(&table, []*Result{r}); err != nil {
			t.Fatal(err)
		}
		texts[i] = table.String()
	}
	if diff := cmp.Diff(texts[0], texts[1]); diff != "" {
		t.Errorf("two runs differ (-first +second):\n%s", diff)
	}
}

// TestEveryRequestHasOneOutcome verifies that the simulation records one outcome for
// each request, also under failures.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"storm", "nodes-killed"} {
		for _, policyName := range []string{"product", "node-queue", "fifo"} {
			s, p := readTestSheet(t, name), testPolicy(t, policyName)
			s.Run.Length = 10 * time.Second
			r, err := Run(context.Background(), s, p, nil)
			if err != nil {
				t.Fatal(err)
			}
			for _, k := range r.Kinds {
				sent := 0
				for _, second := range k.Seconds {
					sent += second.Sent
				}
				if sent != k.Total() || sent == 0 {
					t.Errorf("%s, %s, %s: %d requests sent, %d outcomes recorded, want equal numbers above 0", name, p.Name, k.Kind.Name, sent, k.Total())
				}
			}
		}
	}
}

func TestCancelledRunReturnsErrStopped(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, readTestSheet(t, "calm"), testPolicy(t, "product"), nil); !errors.Is(err, ErrStopped) {
		t.Errorf("got error %v, want ErrStopped", err)
	}
}

// TestPageIsSelfContained verifies that a page has all parts and loads no other file.
func TestPageIsSelfContained(t *testing.T) {
	s := readTestSheet(t, "calm")
	s.Run.Length = 3 * time.Second
	var results []*Result
	for _, name := range []string{"product", "slots"} {
		r, err := Run(context.Background(), s, testPolicy(t, name), nil)
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, r)
	}
	var page bytes.Buffer
	if err := WritePage(&page, s, results); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, want := range []string{"<svg", "Groups in service, large", "Refusals a second", "slots"} {
		if !strings.Contains(text, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	for _, foreign := range []string{"<script", "<link", "src="} {
		if strings.Contains(text, foreign) {
			t.Errorf("page contains %q, want no reference to another file", foreign)
		}
	}
}

// TestReadSheetReportsAllErrors verifies that one error reports every invalid entry
// of a sheet with its place and remedy.
func TestReadSheetReportsAllErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sheet.ini")
	text := `
[run]
length = 5s
nodes  = 0
speed  = 3

[engine]
slots = 2x

[model a]
size = 0

[kind k]
model = b

[phase p]
kind = q

[failure f]
kind = fire

[other]
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadSheet(path)
	if err == nil {
		t.Fatal("got no error for an invalid sheet, want one")
	}
	for _, want := range []string{
		`unknown key "speed"`, "[run] nodes", "[engine]", "[model a] size", `"b" is no model`, `"q" is no kind`, "[failure f] kind: use one of", "[other]: unknown section",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error lacks %q, got:\n%v", want, err)
		}
	}
}

// TestDocsListEveryKey verifies that docs/EXPERIMENT.md lists the keys of the sheet
// types and the policies, in the same order.
func TestDocsListEveryKey(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", "EXPERIMENT.md"))
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]any{
		"### [run]": RunSheet{}, "### [engine]": EngineSheet{}, "### [model NAME]": ModelSheet{}, "### [kind NAME]": KindSheet{},
		"### [phase NAME]": PhaseSheet{}, "### [failure NAME]": FailureSheet{}, "## Policies": nil,
	}
	for title, sheet := range sections {
		_, text, found := strings.Cut(string(content), title+"\n")
		if !found {
			t.Errorf("docs/EXPERIMENT.md has no section %q", title)
			continue
		}
		text, _, _ = strings.Cut(text, "\n## ")
		text, _, _ = strings.Cut(text, "\n### ")
		var listed, want []string
		for line := range strings.SplitSeq(text, "\n") {
			if rest, ok := strings.CutPrefix(line, "| `"); ok {
				key, _, _ := strings.Cut(rest, "`")
				listed = append(listed, key)
			}
		}
		if sheet == nil {
			for _, p := range Policies() {
				want = append(want, p.Name)
			}
		} else {
			for kind, i := reflect.TypeOf(sheet), 0; i < kind.NumField(); i++ {
				if key := kind.Field(i).Tag.Get("ini"); key != "-" {
					want = append(want, key)
				}
			}
		}
		if diff := cmp.Diff(want, listed); diff != "" {
			t.Errorf("%s (-code +docs):\n%s", title, diff)
		}
	}
}

// TestGroupsOpenWholeAfterSilence guards against silent heads that carry out their open
// order after their members have left.
func TestGroupsOpenWholeAfterSilence(t *testing.T) {
	t.Parallel()
	runSeeds(t, "hosts-silent", "product", 12)
}
