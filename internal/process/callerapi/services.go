package callerapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/claim"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/object"
)

// serviceRetryAfter is the Retry-After delay while a service has no endpoint.
const serviceRetryAfter = 2 * time.Second

// maxUnsentAttempts limits the attempts of a non-idempotent call that fail
// before a byte is passed to a connection.
const maxUnsentAttempts = 3

const (
	// answerMemoryBytes limits what a node holds of the answers of all services, besides
	// one answer and a few KB of each.
	answerMemoryBytes = 32 << 20
	// answerReserveBytes is what one answer takes at most, while it is put together from
	// its chunks.
	answerReserveBytes = 2*endpoint.MaxAnswerBytes + 2*endpoint.MaxChunkBytes
)

// maxIdempotencyKeyBytes limits the length of the caller's key.
const maxIdempotencyKeyBytes = 255

// serviceCall is one call of a plain service.
type serviceCall struct {
	name    string
	spec    *object.ServiceSpec
	request endpoint.ServiceRequest
	key     string
	// memory are the accounts of the answers, open until the caller has one.
	memory []*heldmemory.Account
}

// closeMemory releases the memory of the answers.
func (c *serviceCall) closeMemory() {
	for _, account := range c.memory {
		account.Close()
	}
}

// service handles one call of a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, current *callerRequest) *refusal.Error {
	call, refused := newServiceCall(r, current)
	if refused != nil {
		return refused
	}
	defer call.closeMemory()
	admission, refused := s.deps.Limiter.Admit(current.account.Name, 0, current.received)
	if refused != nil {
		return refused
	}
	defer admission.Settle(0)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(call.spec.TimeoutMillis)*time.Millisecond)
	defer cancel()
	w.Header().Set(HeaderIdempotencyKey, call.key)
	if call.spec.IsIdempotent(call.request.Method, r.URL.Path[len("/services/")+len(call.name):]) {
		return s.callIdempotent(ctx, w, current, call)
	}
	return s.callNonIdempotent(ctx, w, current, call)
}

// checkService refuses a call of a service that is not declared. Requests of other paths
// name none.
func checkService(r *http.Request, current *callerRequest) *refusal.Error {
	if name := r.PathValue("service"); name != "" && current.snapshot.Service(name) == nil {
		return refusal.New(refusal.KindUnknownService, http.StatusNotFound, fmt.Sprintf("service %q is not declared; ask the operator for its name", name))
	}
	return nil
}

func newServiceCall(r *http.Request, current *callerRequest) (*serviceCall, *refusal.Error) {
	name := r.PathValue("service")
	spec := current.snapshot.Service(name)
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, refusal.New(refusal.KindBadRequest, http.StatusBadRequest, fmt.Sprintf("header %s is longer than %d bytes; use a shorter key", HeaderIdempotencyKey, maxIdempotencyKeyBytes))
	}
	if key == "" {
		key = current.id
	}
	path := r.URL.EscapedPath()[len("/services/")+len(name):]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	header.Set(HeaderIdempotencyKey, key)
	header.Set(HeaderRequestID, current.id)
	for _, name := range []string{"Content-Type", "Accept"} {
		if value := r.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	request := endpoint.ServiceRequest{Method: r.Method, Path: path, Header: header, Body: current.content.Bytes}
	return &serviceCall{name: name, spec: spec, request: request, key: key}, nil
}

// fingerprint returns a hash that distinguishes different calls with the same
// key.
func (c *serviceCall) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.request.Method + " " + c.request.Path + "\n")
	_, _ = digest.Write(c.request.Body)
	return digest.Sum64()
}

// callIdempotent runs a call and retries it on other endpoints within the
// rank's retry budget. The answer of an endpoint that turned it away and wants no calls
// for a time is passed on only if no other endpoint takes the call.
func (s *Server) callIdempotent(ctx context.Context, w http.ResponseWriter, current *callerRequest, call *serviceCall) *refusal.Error {
	s.deps.Relay.Budget.RecordFirstAttempt(current.rank.Name, time.Now())
	avoid := make(map[string]bool)
	maybeSent := false
	var turnedAway *endpoint.ServiceAnswer
	for attempt := 1; ; attempt++ {
		answer, host, err := s.callEndpoint(ctx, call, avoid)
		var none *noEndpointError
		switch {
		case err == nil && answer.Facts.Wait == 0:
			return s.passOn(w, current, call, answer)
		case err == nil:
			turnedAway = &answer
		case errors.As(err, &none) && turnedAway == nil:
			return none.refusal(maybeSent)
		}
		maybeSent = maybeSent || err == nil || endpoint.MayHaveBeenSent(err)
		avoid[host] = true
		if none == nil && ctx.Err() == nil && s.deps.Relay.Budget.Retry(current.rank.Name, attempt, time.Now()) {
			continue
		}
		if turnedAway != nil {
			return s.passOn(w, current, call, *turnedAway)
		}
		return serviceFailed(call.name, err, maybeSent)
	}
}

// passOn writes the answer of an endpoint to the caller.
func (s *Server) passOn(w http.ResponseWriter, current *callerRequest, call *serviceCall, answer endpoint.ServiceAnswer) *refusal.Error {
	s.writeAnswer(w, current, call, toClaimAnswer(answer))
	s.observeComplete(current)
	return nil
}

// callNonIdempotent claims a call and passes it to at most one connection. If an
// earlier call with the same key was recorded, it returns that call's answer.
func (s *Server) callNonIdempotent(ctx context.Context, w http.ResponseWriter, current *callerRequest, call *serviceCall) *refusal.Error {
	outcome, refused := s.deps.Claims.Begin(ctx, claim.Call{
		Service:     call.name,
		Account:     current.account.Name,
		Key:         call.key,
		Fingerprint: call.fingerprint(),
	})
	if refused != nil {
		return refused
	}
	if outcome.Replay != nil {
		w.Header().Set(HeaderReplayed, strconv.FormatBool(true))
		s.writeAnswer(w, current, call, *outcome.Replay)
		s.observeComplete(current)
		return nil
	}
	return s.runClaimed(ctx, w, current, call, outcome.Handle)
}

// runClaimed runs a call that this node has claimed. It repeats an attempt only
// if no byte was passed to a connection.
func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, current *callerRequest, call *serviceCall, handle *claim.Handle) *refusal.Error {
	// The claim is settled even if the caller has left.
	settleCtx := context.WithoutCancel(ctx)
	avoid := make(map[string]bool)
	for attempt := 1; ; attempt++ {
		answer, host, err := s.callEndpoint(ctx, call, avoid)
		if err == nil {
			recorded := toClaimAnswer(answer)
			_ = s.deps.Claims.Record(settleCtx, handle, recorded)
			s.writeAnswer(w, current, call, recorded)
			s.observeComplete(current)
			return nil
		}
		var none *noEndpointError
		if !errors.As(err, &none) {
			if endpoint.MayHaveBeenSent(err) {
				return serviceFailed(call.name, err, true)
			}
			avoid[host] = true
			if attempt < maxUnsentAttempts {
				continue
			}
			none = &noEndpointError{service: call.name}
		}
		_ = s.deps.Claims.Abandon(settleCtx, handle)
		return none.refusal(false)
	}
}

// callEndpoint calls one endpoint that is not in avoid. The error is a
// *noEndpointError, without a host, if there is none, and else an *endpoint.CallError.
func (s *Server) callEndpoint(ctx context.Context, call *serviceCall, avoid map[string]bool) (answer endpoint.ServiceAnswer, host string, err error) {
	picked, retryAfter, ok := s.deps.Services.Pick(call.name, avoid)
	if !ok {
		return answer, "", &noEndpointError{service: call.name, retryAfter: retryAfter}
	}
	ctx, memory := s.answers.Open(ctx, picked.Name)
	call.memory = append(call.memory, memory)
	request := call.request
	request.Memory = memory
	answer, err = s.deps.Client.Call(ctx, picked.Address, request)
	s.deps.Services.Said(picked, answer.Facts, call.request.Header.Get(HeaderRequestID))
	if err != nil {
		memory.Close()
		s.deps.Services.Failed(picked.Name)
	}
	return answer, picked.Name, err
}

// noEndpointError reports that no endpoint of a service takes calls now.
type noEndpointError struct {
	service string
	// retryAfter is the time until the first endpoint takes calls again that wants none
	// for a time; 0 if no endpoint does.
	retryAfter time.Duration
}

// Error implements error.
func (e *noEndpointError) Error() string {
	if e.retryAfter > 0 {
		return fmt.Sprintf("all endpoints of service %s want no calls for now; send the request again after the time in Retry-After", e.service)
	}
	return fmt.Sprintf("service %s has no live endpoint; send the request again later", e.service)
}

// refusal returns the refusal of a call that an earlier attempt may have sent.
func (e *noEndpointError) refusal(maybeSent bool) *refusal.Error {
	refused := refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, e.Error())
	if maybeSent {
		refused.Ran = refusal.RanUnknown
	}
	if e.retryAfter > 0 {
		return refused.WithRetryAfter(e.retryAfter)
	}
	return refused.WithRetryAfter(serviceRetryAfter)
}

func serviceFailed(service string, err error, maybeSent bool) *refusal.Error {
	message := fmt.Sprintf("service %s did not answer (%v); look up whether the call took effect before you send it again with a new key", service, err)
	if !maybeSent {
		return refusal.New(refusal.KindNoEndpoint, http.StatusBadGateway, message)
	}
	return refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, message)
}

func toClaimAnswer(answer endpoint.ServiceAnswer) claim.Answer {
	return claim.Answer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}
}

// maxUntakenWait is how long an answer waits until others have been taken. It is then
// delivered in the memory for answers of services.
const maxUntakenWait = 2 * time.Second

// writeAnswer writes a whole answer to the caller. It takes the answer over from the memory
// for answers of services, and makes it give way if the caller takes it too slowly while
// others need the memory.
func (s *Server) writeAnswer(w http.ResponseWriter, current *callerRequest, call *serviceCall, answer claim.Answer) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	if len(answer.Body) <= heldmemory.FreeBytes {
		_, _ = w.Write(answer.Body) // fails if the caller has left
		return
	}
	ctx, untaken := s.untaken.Open(context.Background(), current.account.Name)
	defer untaken.Close()
	if untaken.Grow(len(answer.Body)) == nil {
		call.closeMemory()
	}
	defer context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), heldmemory.ErrEvicted) {
			s.deps.Events.LogLimited(eventlog.AnswerNotTaken, eventlog.Fields{"request": current.id, "held_bytes": s.untaken.Used()})
			// An error means that the connection has no deadlines, as in tests.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		}
	})()
	for rest := answer.Body; len(rest) > 0; {
		n, err := w.Write(rest[:min(len(rest), endpoint.MaxChunkBytes)])
		if err != nil {
			return // the caller has left
		}
		untaken.Progress(n)
		rest = rest[n:]
	}
}

func (s *Server) observeComplete(current *callerRequest) {
	elapsed := time.Since(current.received)
	s.deps.Observer.Observe(Sample{
		Rank:       current.rank.Name,
		Account:    current.account.Name,
		Class:      current.account.Class,
		Outcome:    OutcomeComplete,
		FirstToken: elapsed,
	})
}
