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

	"currantladder.example/currantladder/internal/connection/wellformed"
	"currantladder.example/currantladder/internal/process/operatorapi"
)

const (
	// tokenVariable and serverVariable are the environment variables that set
	// the defaults of the flags --token and --server.
	tokenVariable  = "CURRANTLADDER_TOKEN"
	serverVariable = "CURRANTLADDER_SERVER"
	// defaultServer is the operator listener of a node on the local machine.
	defaultServer = "http://127.0.0.1:8082"
	// responseHeaderTimeout is how long to wait for the header of a response.
	// It is longer than the longest watch request.
	responseHeaderTimeout = 3 * time.Minute
)

// client calls the resource API of one node.
type client struct {
	server string
	token  string
	caFile string
	// httpClient is created at the first call.
	httpClient *http.Client
}

// addFlags adds the flags that all operator commands share.
func (c *client) addFlags(sub *flaggy.Subcommand) {
	c.server = defaultServer
	if server := os.Getenv(serverVariable); server != "" {
		c.server = server
	}
	sub.String(&c.server, "s", "server", "URL of a node's operator listener (default "+defaultServer+", or "+serverVariable+").")
	sub.String(&c.token, "", "token", "Operator token (default from "+tokenVariable+").")
	sub.String(&c.caFile, "", "ca-file", "CA certificates (PEM) that verify the certificate of the node when TLS is enabled.")
}

// createHTTPClient reads the token and the certificates and sets httpClient.
func (c *client) createHTTPClient() error {
	if c.token == "" {
		c.token = os.Getenv(tokenVariable)
	}
	if c.token == "" {
		return fmt.Errorf("%w: no operator token: set --token or %s", errUsage, tokenVariable)
	}
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, ResponseHeaderTimeout: responseHeaderTimeout}
	c.httpClient = &http.Client{Transport: wellformed.NewTransport(transport)}
	if c.caFile == "" {
		return nil
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return fmt.Errorf("read --ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("--ca-file %s contains no certificate in PEM format", c.caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool}
	return nil
}

// call sends a request and returns the body of the response. For a status other
// than 200 the error is the *operatorapi.Error that the server sent, if any.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body io.Reader) ([]byte, error) {
	if c.httpClient == nil {
		if err := c.createHTTPClient(); err != nil {
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
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request to %s failed (--server selects another node): %w", c.server, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read the response of %s: %w", c.server, err)
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

// get sends a GET request and decodes the response into reply.
func (c *client) get(ctx context.Context, path string, query url.Values, reply any) error {
	content, err := c.call(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return fmt.Errorf("decode the response of %s%s: %w", c.server, path, err)
	}
	return nil
}

// isAPIError reports whether the error is an API error of the kind.
func isAPIError(err error, kind operatorapi.ErrorKind) bool {
	var failure *operatorapi.Error
	return errors.As(err, &failure) && failure.Kind == kind
}

// parseKey parses KIND/NAME.
func parseKey(text string) (kind, name string, err error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || kind == "" || name == "" {
		return "", "", fmt.Errorf("%w: %q is not KIND/NAME, such as Rank/urgent", errUsage, text)
	}
	return kind, name, nil
}

// objectPath returns the path of an object in the resource API.
func objectPath(kind, name string) string {
	return "/api/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
