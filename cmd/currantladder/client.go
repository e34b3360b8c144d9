package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"currantladder.example/currantladder/internal/process/operatorapi"
)

const (
	// tokenVariable and serverVariable name environment variables that stand
	// in for the flags of the same meaning.
	tokenVariable  = "CURRANTLADDER_TOKEN"
	serverVariable = "CURRANTLADDER_SERVER"
	// defaultServer is the operator listener of a node on this machine.
	defaultServer = "http://127.0.0.1:8082"
	// answerTimeout bounds the wait for an answer's header. It is longer than
	// the longest watch.
	answerTimeout = 3 * time.Minute
)

// client calls the resource API of one node.
type client struct {
	server string
	token  string
	caFile string
	http   *http.Client
}

// attach adds the flags that all operator commands share.
func (c *client) attach(sub *flaggy.Subcommand) {
	c.server = defaultServer
	if server := os.Getenv(serverVariable); server != "" {
		c.server = server
	}
	sub.String(&c.server, "s", "server", "URL of a node's operator listener (default "+defaultServer+", or "+serverVariable+").")
	sub.String(&c.token, "", "token", "Operator token (default from "+tokenVariable+").")
	sub.String(&c.caFile, "", "ca-file", "Certificates that verify the node when TLS is on.")
}

// prepare reads the token and the certificates.
func (c *client) prepare() error {
	if c.token == "" {
		c.token = os.Getenv(tokenVariable)
	}
	if c.token == "" {
		return fmt.Errorf("%w: no token: set --token or %s", errUsage, tokenVariable)
	}
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, ResponseHeaderTimeout: answerTimeout}
	c.http = &http.Client{Transport: transport}
	if c.caFile == "" {
		return nil
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return fmt.Errorf("read --ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("--ca-file %s holds no certificate in PEM form", c.caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool}
	return nil
}

// call sends a request and returns the answer's body. An answer other than
// 200 is an *operatorapi.Error where the server sent one.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body io.Reader) ([]byte, error) {
	if c.http == nil {
		if err := c.prepare(); err != nil {
			return nil, err
		}
	}
	address := strings.TrimRight(c.server, "/") + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, fmt.Errorf("%w: --server %s: %w", errUsage, c.server, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask %s, or name another node with --server: %w", c.server, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read the answer of %s: %w", c.server, err)
	}
	if response.StatusCode == http.StatusOK {
		return content, nil
	}
	var failure operatorapi.ErrorBody
	if json.Unmarshal(content, &failure) == nil && failure.Error != nil {
		failure.Error.Status = response.StatusCode
		return nil, failure.Error
	}
	return nil, fmt.Errorf("%s answered %s: is it the operator listener of a node?", address, response.Status)
}

// read sends a GET request and decodes the answer into reply.
func (c *client) read(ctx context.Context, path string, query url.Values, reply any) error {
	content, err := c.call(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return fmt.Errorf("answer of %s%s: %w", c.server, path, err)
	}
	return nil
}

// hasKind reports whether the error is an API error of the kind.
func hasKind(err error, kind operatorapi.ErrorKind) bool {
	var failure *operatorapi.Error
	return errors.As(err, &failure) && failure.Kind == kind
}

// splitKey splits KIND/NAME.
func splitKey(text string) (kind, name string, err error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || kind == "" || name == "" {
		return "", "", fmt.Errorf("%w: %q is not KIND/NAME, such as Rank/urgent", errUsage, text)
	}
	return kind, name, nil
}

func objectPath(kind, name string) string {
	return "/api/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
