package configlog

import (
	"fmt"
	"strings"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
)

// InvalidError lists all invalid fields of a proposal. Nothing was written.
type InvalidError struct{ FieldErrors []object.FieldError }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.FieldErrors))
	for _, fieldError := range e.FieldErrors {
		lines = append(lines, fieldError.String())
	}
	return "the change is invalid, correct every fault: " + strings.Join(lines, "; ")
}

// VersionError reports that a proposal names a resource version which is not the
// current one. Nothing was written. It unwraps to a *table.ConflictError.
type VersionError struct {
	Key      object.Key
	Expected int64
	// Current is 0 when the object does not exist.
	Current int64
}

// Error implements error.
func (e *VersionError) Error() string {
	if e.Current == 0 {
		return fmt.Sprintf("%s does not exist, but the change names resource version %d: read the objects again", e.Key, e.Expected)
	}
	return fmt.Sprintf("%s is at resource version %d, but the change names %d: read it again and repeat the change", e.Key, e.Current, e.Expected)
}

// Unwrap returns the conflict on the object's row.
func (e *VersionError) Unwrap() error {
	return &table.ConflictError{Keys: []string{objectKey(e.Key)}}
}
