package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// readKeyFile stores the peer key from the file.
func readKeyFile(s *Settings, path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fileRemedy(err)
	}
	if s.Peers.Key != "" {
		return fmt.Errorf("set either key or key_file")
	}
	s.Peers.Key = strings.TrimSpace(string(content))
	if s.Peers.Key == "" {
		return fmt.Errorf("the file is empty: write the shared key into it")
	}
	return nil
}

// readUsersFile adds the operators in the file, each on a line NAME = HASH. Empty
// lines and comments are skipped.
func readUsersFile(s *Settings, path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fileRemedy(err)
	}
	var remedies []error
	lineNumber := 0
	for line := range strings.Lines(string(content)) {
		lineNumber++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		name, hash, _ := strings.Cut(line, "=")
		if err := addUser(s, strings.TrimSpace(name), strings.TrimSpace(hash)); err != nil {
			remedies = append(remedies, fmt.Errorf("line %d: %w", lineNumber, err))
		}
	}
	return errors.Join(remedies...)
}

// addUser stores an operator and the SHA-256 hash of the operator's token.
func addUser(s *Settings, name, hash string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name the operator with 1 to 63 characters from a-z, 0-9, '-' and '.'")
	}
	if !hashPattern.MatchString(hash) {
		return fmt.Errorf("use the SHA-256 hash of the operator's token, 64 lower-case hex digits")
	}
	if _, taken := s.Operators.Users[name]; taken {
		return fmt.Errorf("operator %s is set twice: keep one", name)
	}
	s.Operators.Users[name] = hash
	return nil
}

// fileRemedy converts an error of opening or reading a file to a remedy.
func fileRemedy(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("the file does not exist: create it or correct the path")
	}
	return fmt.Errorf("the file cannot be read: %w", err)
}

// checkReadable returns a remedy if the file cannot be opened.
func checkReadable(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fileRemedy(err)
	}
	return file.Close()
}
