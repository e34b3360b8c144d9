// Package intake bounds what a node holds of the bodies of requests. It reads them under a
// pool of memory, ends those that come too slowly, and lets no handler wait for the rest of
// a body that it does not need.
package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/refusal"
)

const (
	// discardTimeout is how long the rest of a body that its handler does not read may
	// take. net/http reads up to 256 KB of it, so that the connection can be used again.
	discardTimeout = time.Second
	// slowBodyTimeout is how long a body may take for slowBodyBytes while connections are
	// short.
	slowBodyTimeout = 2 * time.Second
	slowBodyBytes   = 16 << 10
	// MaxWait is how long a body waits for memory, in all, before its request is refused.
	MaxWait = 2 * time.Second
	// retryAfter is the retry delay of a request that was refused for want of memory.
	retryAfter = time.Second
)

// Errors of a body that was not read whole.
var (
	errTooLarge = errors.New("the body is larger than its limit")
	errTooSlow  = errors.New("no byte of the body came for too long")
	errDeadline = errors.New("the time of the request ended before its body was complete")
)

// Options are the limits and dependencies of Bodies.
type Options struct {
	// Pool is the memory for bodies.
	Pool *heldmemory.Pool
	// Timeout is the longest time without a byte of a body; 0 sets no limit.
	Timeout time.Duration
	// Copies is how many bytes are held for each byte that a handler reads from a wrapped
	// body. It does not apply to Read.
	Copies  int
	Log     *eventlog.Logger
	Metrics tally.Scope
}

// Bodies reads the bodies of the requests of one listener. It is safe for concurrent use.
type Bodies struct {
	Options

	mu sync.Mutex
	// open are the bodies that are being read.
	open map[*body]struct{}
}

// New returns a reader of bodies.
func New(o Options) *Bodies { return &Bodies{Options: o, open: map[*body]struct{}{}} }

// body is the body of a request that is being read.
type body struct {
	bodies  *Bodies
	request *http.Request
	src     io.ReadCloser
	control *http.ResponseController
	// owner shares the pool with other owners.
	owner string
	// latest is the latest end of the body, or zero.
	latest time.Time

	// ctx is the context of the account and nil before the first read. unwatch ends the
	// watch for its end.
	ctx     context.Context
	account *heldmemory.Account
	unwatch func() bool
	// deadlineSet is when the read deadline was last set.
	deadlineSet time.Time
	err         error

	// mu guards the fields below. slowSince is when the body last began to receive
	// slowBodyBytes, of which it has received progress. tooSlow is true if the body had to
	// give way to others' connections.
	mu        sync.Mutex
	slowSince time.Time
	progress  int
	tooSlow   bool
}

// Wrap returns a handler whose requests' bodies are read under the limits, by handlers that
// read them in pieces, and are not waited for if the handler does not read them.
func (b *Bodies) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		LimitRest(w)
		wrapped := b.newBody(w, r)
		r.Body = wrapped
		defer wrapped.release()
		next.ServeHTTP(w, r)
	})
}

// LimitRest limits the time for the part of a body that its handler does not read.
func LimitRest(w http.ResponseWriter) {
	// An error means that the connection has no deadlines, as in tests.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

func (b *Bodies) newBody(w http.ResponseWriter, r *http.Request) *body {
	return &body{bodies: b, request: r, src: r.Body, control: http.NewResponseController(w), owner: remoteHost(r)}
}

// remoteHost returns the address of the sender without its port.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// start opens the account of the body.
func (b *body) start() {
	b.ctx, b.account = b.bodies.Pool.Open(b.request.Context(), b.owner)
	b.unwatch = context.AfterFunc(b.ctx, func() {
		// Ends a read that is under way. An error means that there are no deadlines.
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	})
	b.slowSince = time.Now()
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.bodies.open[b] = struct{}{}
}

// finish ends the reading. The memory stays counted until release.
func (b *body) finish() {
	if b.unwatch == nil {
		return
	}
	b.bodies.mu.Lock()
	delete(b.bodies.open, b)
	b.bodies.mu.Unlock()
	unwatched := b.unwatch()
	b.unwatch = nil
	if !unwatched && errors.Is(b.err, io.EOF) {
		b.err = context.Cause(b.ctx) // the connection can no longer be read
	}
}

// release stops counting the memory of the body.
func (b *body) release() {
	if b.account != nil {
		b.finish()
		b.account.Close()
	}
}

// EndSlow ends the body that has taken longest for slowBodyBytes, at least slowBodyTimeout.
// It reports whether there was one.
func (b *Bodies) EndSlow() bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var slowest *body
	var oldest time.Time
	for open := range b.open {
		open.mu.Lock()
		if since := open.slowSince; !open.tooSlow && now.Sub(since) >= slowBodyTimeout && (slowest == nil || since.Before(oldest)) {
			slowest, oldest = open, since
		}
		open.mu.Unlock()
	}
	if slowest == nil {
		return false
	}
	slowest.mu.Lock()
	slowest.tooSlow = true
	slowest.mu.Unlock()
	_ = slowest.control.SetReadDeadline(time.Unix(1, 0)) // as in start
	return true
}

// readSome reads what has come, without counting it.
func (b *body) readSome(p []byte) (int, error) {
	b.extendDeadline(time.Now())
	n, err := b.src.Read(p)
	if n > 0 {
		b.mu.Lock()
		if b.progress += n; b.progress >= slowBodyBytes {
			b.slowSince, b.progress = time.Now(), 0
		}
		b.mu.Unlock()
	}
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		err = b.cause(err)
	}
	b.err = err
	b.finish()
	if errors.Is(b.err, io.EOF) {
		// The connection is read ahead from now on, which must not end by this deadline.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, b.err
}

// extendDeadline lets the next byte come until the timeout or the latest end. It spares
// most calls, since a deadline need not be exact.
func (b *body) extendDeadline(now time.Time) {
	timeout := b.bodies.Timeout
	b.mu.Lock()
	tooSlow := b.tooSlow
	b.mu.Unlock()
	if tooSlow || b.ctx.Err() != nil || !b.deadlineSet.IsZero() && now.Sub(b.deadlineSet) < timeout/8 {
		return
	}
	b.deadlineSet = now
	deadline := b.latest
	if idle := now.Add(timeout); timeout > 0 && (deadline.IsZero() || idle.Before(deadline)) {
		deadline = idle
	}
	_ = b.control.SetReadDeadline(deadline) // as in start
	if b.ctx.Err() != nil {
		_ = b.control.SetReadDeadline(time.Unix(1, 0)) // the context ended meanwhile
	}
}

// cause returns why a read failed with an error.
func (b *body) cause(err error) error {
	b.mu.Lock()
	tooSlow := b.tooSlow
	b.mu.Unlock()
	ended := context.Cause(b.ctx)
	switch {
	case ended != nil && !errors.Is(ended, context.Canceled): // net/http cancels at each failed read
		return ended
	case tooSlow:
		return errTooSlow
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case !b.latest.IsZero() && !time.Now().Before(b.latest):
		return errDeadline
	default:
		return errTooSlow
	}
}

// Read implements io.Reader. It counts what it reads.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.ctx == nil {
		b.start()
	}
	p = p[:min(len(p), maxChunkBytes)]
	if err := b.account.Grow(len(p) * b.bodies.Copies); err != nil {
		b.err = err
		return 0, err
	}
	n, err := b.readSome(p)
	b.account.Shrink((len(p) - n) * b.bodies.Copies)
	if errors.Is(err, io.EOF) {
		// The sender is known to the handler. What it keeps is bounded by its own limits.
		b.account.Close()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error { return b.src.Close() }

// Refusal returns the refusal of a request whose body could not be read, as not run, or nil
// if err has another cause, such as a caller that has disconnected.
func Refusal(err error) *refusal.Error {
	var ended *refusal.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &ended):
		return ended
	case errors.Is(err, heldmemory.ErrNoMemory):
		return refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "the node has no memory for the body now; send the request again").WithRetryAfter(retryAfter)
	case errors.Is(err, heldmemory.ErrEvicted), errors.Is(err, errTooSlow), errors.Is(err, errDeadline):
		return refusal.New(refusal.KindBodyTooSlow, http.StatusRequestTimeout, "the body came too slowly; send it whole at once")
	case errors.Is(err, errTooLarge), errors.As(err, &tooLarge):
		return refusal.New(refusal.KindBodyTooLarge, http.StatusRequestEntityTooLarge, "the body is larger than its limit; send less")
	default:
		return nil
	}
}

// Refused counts and logs a refusal that Refusal has returned.
func (b *Bodies) Refused(r *http.Request, e *refusal.Error) {
	if b.Metrics != nil {
		b.Metrics.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("bodies_refused").Inc(1)
	}
	if b.Log != nil {
		b.Log.LogLimited(eventlog.BodyRefused, eventlog.Fields{"kind": e.Kind, "status": e.Status, "remote": remoteHost(r), "announced": r.ContentLength, "held_bytes": b.Pool.Used()})
	}
}
