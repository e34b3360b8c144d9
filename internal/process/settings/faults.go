package settings

import (
	"fmt"
	"strings"
)

// Fault is one invalid setting together with its remedy.
type Fault struct {
	// Section and Key locate the setting; both are empty if the file is not
	// valid INI.
	Section string
	Key     string
	// Value is the text that was read; secrets are replaced by a placeholder.
	Value string
	// Remedy says how to correct the setting.
	Remedy string
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Value == "" {
		return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Remedy)
	}
	return fmt.Sprintf("[%s] %s = %s: %s", f.Section, f.Key, f.Value, f.Remedy)
}

// FaultsError lists every fault of a settings file.
type FaultsError struct {
	Path   string
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("settings file %s has %d faults:", e.Path, len(e.Faults)))
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}
