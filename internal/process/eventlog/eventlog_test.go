package eventlog

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCatalogueIsSortedAndComplete verifies that Catalogue lists as many events as
// catalogue.go declares, with unique numbers in ascending order.
func TestCatalogueIsSortedAndComplete(t *testing.T) {
	for i := 1; i < len(Catalogue); i++ {
		if Catalogue[i-1].Number >= Catalogue[i].Number {
			t.Errorf("got event %d after %d, want unique numbers in ascending order", Catalogue[i].Number, Catalogue[i-1].Number)
		}
	}
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.CompositeLit)
		if ok {
			if name, ok := literal.Type.(*ast.Ident); ok && name.Name == "Event" {
				declared++
			}
		}
		return true
	})
	if declared != len(Catalogue) {
		t.Errorf("got %d events declared in catalogue.go and %d in Catalogue, want equal numbers", declared, len(Catalogue))
	}
}

// TestEventsPageListsCatalogue verifies that docs/EVENTS.md lists the events of the
// catalogue with their numbers, levels and messages.
func TestEventsPageListsCatalogue(t *testing.T) {
	content, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		if strings.HasPrefix(line, "| 1") && len(cells) >= 3 {
			got = append(got, strings.Join(cells[:3], " | "))
		}
	}
	for _, event := range Catalogue {
		want = append(want, fmt.Sprintf("| %d | %s | %s", event.Number, event.Level, event.Message))
	}
	if !slices.Equal(got, want) {
		t.Errorf("docs/EVENTS.md (-catalogue +page):\n%s", cmp.Diff(want, got))
	}
}
