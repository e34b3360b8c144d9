// Package wellformed rejects HTTP/1.1 responses that break RFC 9110 or RFC 9112 where
// net/http accepts them. Nodes and operators' commands send all their requests through it,
// so that one place says what a response of another process must look like.
//
// A response that is not well-formed is an error of its request, and its connection is
// closed. Whether the request ran is unknown.
//
// A response without a length or chunks ends with its connection. It is complete only if the
// server ended the connection, and an error if the connection failed, whichever of the
// goroutines that write the request and read the response met the failure.
package wellformed

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// Transport is a transport that returns well-formed responses only. It is safe for
// concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport over base, which must not have been used before. It
// replaces the dial functions of base, and speaks no HTTP/2.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := handshake(ctx, raw, address, base.TLSClientConfig)
		if err != nil {
			raw.Close()
			return nil, err
		}
		return newConn(secured), nil
	}
	return &Transport{base}
}

// handshake begins TLS on a connection to address.
func handshake(ctx context.Context, raw net.Conn, address string, config *tls.Config) (net.Conn, error) {
	own := &tls.Config{MinVersion: tls.VersionTLS12}
	if config != nil {
		own = config.Clone()
	}
	if own.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		own.ServerName = host
	}
	secured := tls.Client(raw, own)
	return secured, secured.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper. An *Error is in the chain of the errors of
// responses that are not well-formed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used, _ = info.Conn.(*conn) },
		// The transport calls PutIdleConn before it reads further.
		PutIdleConn: func(err error) {
			if err == nil && used != nil {
				used.expectResponse()
			}
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	response.Body = &body{response.Body, response, used}
	return response, nil
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// body is the body of a response. It ends with an *Error if its trailer is malformed.
type body struct {
	io.ReadCloser
	response *http.Response
	// conn is nil if the connection is not checked.
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.response.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			if b.conn != nil {
				b.conn.Close() // the transport may have put it among the idle ones
			}
			return n, &Error{"invalid field name in the trailer", name}
		}
	}
	return n, io.EOF
}
