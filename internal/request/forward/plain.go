package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/version/fleet"
)

// errUnverifiedAnswer reports an answer that is not proven to be the endpoint's
// answer to this request.
var errUnverifiedAnswer = errors.New("answer carries no endpoint proof or belongs to another request")

// maxErrorAnswerBytes limits an answer with a status of 400 or more, which describes an
// error, and endpoint.MaxAnswerBytes any other.
const maxErrorAnswerBytes = 256 << 10

// exitDuration is how long a process may take to close its sockets when it ends.
const exitDuration = 150 * time.Millisecond

// errCutAnswer reports an answer without a length or chunks whose connection ended
// because the host crashed.
var errCutAnswer = errors.New("answer ended with its connection as the host crashed")

// errDoubtfulEnd reports a stream without a length or chunks whose connection ended as its
// host left, so that it may be complete or cut.
var errDoubtfulEnd = errors.New("stream ended with its connection as the host left")

// errNotRun reports that the endpoint declared that it did not run the request.
var errNotRun = errors.New("endpoint did not run the request")

// answer is a complete answer of an endpoint.
type answer struct {
	// host is the ID of the endpoint's host.
	host   string
	status int
	header http.Header
	body   body
}

// sendAndRead sends the request to the host, and reads and verifies the answer. The
// body of the answer is in memory until the account is closed. ctx must be the account's.
func (s *requestState) sendAndRead(ctx context.Context, host *fleet.Host, toSend Attempt, memory *heldmemory.Account) attemptResult {
	reply, err := s.Endpoint.Send(ctx, s.request, toSend)
	if err != nil {
		return attemptResult{mayHaveRun: endpoint.MayHaveBeenSent(err), err: err}
	}
	defer reply.Body.Close()
	s.observeHost(host, reply)
	if s.notRun(reply) {
		return attemptResult{err: errNotRun}
	}
	if reply.WrongRequest {
		return attemptResult{mayHaveRun: true, err: errUnverifiedAnswer}
	}
	content, err := readAnswerBody(ctx, reply, memory)
	if err != nil {
		return attemptResult{mayHaveRun: true, err: err}
	}
	if !reply.Verified {
		return attemptResult{mayHaveRun: true, err: errUnverifiedAnswer}
	}
	if reply.EndsWithConnection && s.crashed(ctx, host) {
		return attemptResult{mayHaveRun: true, err: errCutAnswer}
	}
	doubtful := reply.EndsWithConnection && s.leftMeanwhile(ctx, host)
	return attemptResult{mayHaveRun: true, answer: &answer{host.ID, reply.Status, reply.Header, content}, doubtful: doubtful}
}

// crashed reports whether the process of a host is gone although the host was not
// about to leave. A crashed host stays registered for seconds; one that has left does
// not. It blocks while the host is checked.
func (c *Core) crashed(ctx context.Context, host *fleet.Host) bool {
	current := c.View.Load().Host(host.ID)
	if isLeaving(current) {
		return false
	}
	return !current.Started.Equal(host.Started) || c.Endpoint.Gone(ctx, host.Address)
}

// leftMeanwhile reports whether the process of a host that was about to leave is gone. It
// may have ended after its answers or in the middle of them. It blocks while the host is
// checked, twice because a process that ends may close its listener after its connections.
func (c *Core) leftMeanwhile(ctx context.Context, host *fleet.Host) bool {
	if !isLeaving(c.View.Load().Host(host.ID)) {
		return false
	}
	if c.Endpoint.Gone(ctx, host.Address) {
		return true
	}
	select {
	case <-time.After(exitDuration):
	case <-ctx.Done():
	}
	return c.Endpoint.Gone(ctx, host.Address)
}

// isLeaving reports whether a host is about to leave or, if nil, not registered any more.
func isLeaving(registered *fleet.Host) bool {
	return registered == nil || registered.State == fleet.HostLeaving
}

// maxUntakenWait is how long an answer waits until others have been taken. It is then
// delivered in the memory for answers of hosts.
const maxUntakenWait = 2 * time.Second

// deliver writes a complete answer to the caller, or refuses the request if the status would
// be an unproven promise. It takes the answer over from the account of the host's answer, which
// may be nil, and makes it give way if the caller takes it too slowly while others need the
// memory.
func (s *requestState) deliver(a *answer, memory *heldmemory.Account) {
	if !s.mayPassOn(a) {
		s.refuseInsteadOf(a)
		return
	}
	if size := a.body.size(); size > heldmemory.FreeBytes {
		ctx, untaken := s.untaken.Open(s.caller, s.account)
		defer untaken.Close()
		if untaken.Grow(size) == nil {
			memory.Close()
		}
		defer context.AfterFunc(ctx, func() { s.cutUntaken(ctx) })()
		s.write(a, untaken)
		return
	}
	s.write(a, nil)
}

// cutUntaken ends the delivery of an answer that has to give way.
func (s *requestState) cutUntaken(ctx context.Context) {
	if !errors.Is(context.Cause(ctx), heldmemory.ErrEvicted) {
		return
	}
	s.Metrics.Counter("answers_not_taken").Inc(1)
	s.Log.LogLimited(eventlog.AnswerNotTaken, eventlog.Fields{"request": s.request.ID, "held_bytes": s.untaken.Used()})
	// An error means that the connection has no deadlines, as in tests.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Unix(1, 0))
}

// write writes a complete answer to the caller. Each chunk is released once it is taken.
func (s *requestState) write(a *answer, untaken *heldmemory.Account) {
	header := s.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(a.body.size()))
	s.w.WriteHeader(a.status)
	for i, chunk := range a.body {
		if _, err := s.w.Write(chunk); err != nil {
			s.Log.LogLimited(eventlog.CallerDisconnected, eventlog.Fields{"request": s.request.ID, "error": err.Error()})
			return
		}
		a.body[i] = nil
		if untaken != nil {
			untaken.Progress(len(chunk))
			untaken.Shrink(len(chunk))
		}
	}
	s.logAnswered(a.status, 0)
}

// errorText returns the text of err, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
