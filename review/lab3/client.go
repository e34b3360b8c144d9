//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Names of the manifest of the cases.
const (
	hostName = "desk.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
)

// outcome is how one request of a client ended.
type outcome struct {
	id, method, target string
	sent, ended        time.Time
	// status is 0 if no answer came. complete is true if the answer ended as its head announced.
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// channel is a client's connection to one node, kept for many requests.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *channel) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// call sends a request on the channel, as the pages show it, and reads the answer.
func (c *channel) call(id, method, target, body string, limit time.Duration) outcome {
	return c.callAndLeave(id, method, target, body, limit, 0)
}

// callAndLeave is call for a client that gives up after a time, unless it is 0: it closes its side of the
// channel, and reads what the node still sends until the node closes the other side.
func (c *channel) callAndLeave(id, method, target, body string, limit, leaveAfter time.Duration) (o outcome) {
	o = outcome{id: id, method: method, target: target, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			o.err = err
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", method, target, hostName, headerID, id, headerDeadline, limit.Milliseconds(), headerKey, apiKey)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		c.close()
		o.err = err
		return o
	}
	if leaveAfter > 0 {
		conn := c.conn.(*net.TCPConn)
		defer time.AfterFunc(leaveAfter, func() { _ = conn.CloseWrite() }).Stop()
		defer c.close()
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		o.err = err
		return o
	}
	content, err := io.ReadAll(response.Body)
	response.Body.Close()
	o.status, o.header, o.body, o.err, o.complete = response.StatusCode, response.Header, string(content), err, err == nil
	if err != nil || response.Close {
		c.close()
	}
	return o
}

// text describes an outcome for the record.
func (o outcome) text() string {
	what := fmt.Sprintf("%d, %d bytes", o.status, len(o.body))
	if o.status == 0 {
		what = "no answer"
	}
	if o.err != nil {
		what += ", " + strings.ReplaceAll(o.err.Error(), "\n", " ")
	}
	return fmt.Sprintf("%s %s %s: %s after %d ms", o.id, o.method, o.target, what, o.ended.Sub(o.sent).Milliseconds())
}

// checkWhole records a break of MIXED: a success whose body is not the worker's whole body.
func (l *lab) checkWhole(o outcome) {
	if o.status < 200 || o.status > 299 || !o.complete {
		return
	}
	if whole := answerOf(o.id); o.body != whole || o.header.Get(headerSeal) != sealOf(whole) {
		l.breakRule("MIXED: %s got the success %d as complete with %d of %d bytes", o.id, o.status, len(o.body), len(whole))
	}
}
