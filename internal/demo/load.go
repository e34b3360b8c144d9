package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/engine"
)

// outcome is how one request ended for its caller.
type outcome string

// Outcomes of a request. The stream of a wrong answer ended normally, but its
// tokens do not match the request or it has no finish reason.
const (
	outcomeServed  outcome = "served"
	outcomeRefused outcome = "refused"
	outcomeUnknown outcome = "unknown"
	outcomeWrong   outcome = "wrong"
)

// result is one finished request.
type result struct {
	id          string
	account     string
	rank        string
	node        *fleetNode
	outcome     outcome
	refusalKind refusal.Kind
	sent        time.Time
	ended       time.Time
	firstToken  time.Duration
	// gaps are the times between two tokens.
	gaps   []time.Duration
	tokens int
	// promptTokens count against the account's cap once a token was generated.
	promptTokens int
}

// charged returns the tokens that count against the account's cap.
func (r result) charged() int {
	if r.tokens == 0 {
		return 0
	}
	return r.tokens + r.promptTokens
}

// loadGenerator runs callers that send requests to the running nodes.
type loadGenerator struct {
	fleet  *fleet
	client *http.Client

	mu       sync.Mutex
	results  []result
	bookings []booking
	inFlight map[*fleetNode]int
}

// booking is the idempotency key of one non-idempotent call.
type booking struct{ key string }

func newLoadGenerator(f *fleet) *loadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &loadGenerator{fleet: f, client: &http.Client{Transport: transport}, inFlight: make(map[*fleetNode]int)}
}

// run runs the callers of every account until ctx ends, then waits for the
// requests in flight.
func (l *loadGenerator) run(ctx context.Context) {
	var callers sync.WaitGroup
	seed := uint64(1)
	for _, a := range accounts() {
		for range a.callers {
			random := rand.New(rand.NewPCG(seed, seed))
			seed++
			callers.Go(func() { l.runCaller(ctx, a, random) })
		}
	}
	callers.Go(func() { l.runBookingCaller(ctx) })
	callers.Wait()
	l.client.CloseIdleConnections()
}

// runCaller sends one request after another until ctx ends.
func (l *loadGenerator) runCaller(ctx context.Context, a account, random *rand.Rand) {
	const refusedBackoff = 50 * time.Millisecond
	for ctx.Err() == nil {
		rank := rankNames[random.IntN(len(rankNames))]
		prompt := newPrompt(a.name, random)
		r := l.requestCompletion(a, rank, prompt, 20+random.IntN(60))
		l.add(r)
		if r.outcome != outcomeServed {
			time.Sleep(refusedBackoff)
		}
	}
}

// newPrompt returns a random prompt. Prompts of the same topic share a prefix.
func newPrompt(name string, random *rand.Rand) string {
	topic := random.IntN(12)
	shared := strings.Repeat(fmt.Sprintf("winter route advice topic %d ", topic), 6)
	return fmt.Sprintf("%s question %d of %s", shared, random.IntN(1_000_000), name)
}

func (l *loadGenerator) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// pickNode returns the running node with the fewest requests in flight, as a load
// balancer would, and counts a request there. It returns nil if no node runs.
func (l *loadGenerator) pickNode() *fleetNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := l.fleet.runningNodes()
	if len(running) == 0 {
		return nil
	}
	best := running[0]
	for _, n := range running {
		if l.inFlight[n] < l.inFlight[best] {
			best = n
		}
	}
	l.inFlight[best]++
	return best
}

func (l *loadGenerator) releaseNode(n *fleetNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[n]--
}

// streamRequest is the body of a streamed completion.
type streamRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// streamEvent is the part of a streamed event that the caller reads.
type streamEvent struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *refusal.Error `json:"error"`
}

// requestCompletion runs one streamed completion and compares the answer with the
// tokens that the engine stand-in generates for this prompt.
func (l *loadGenerator) requestCompletion(a account, rank, prompt string, maxTokens int) result {
	n := l.pickNode()
	r := result{account: a.name, rank: rank, node: n, outcome: outcomeUnknown, sent: time.Now(), promptTokens: endpoint.CountTokens(prompt)}
	if n == nil {
		r.outcome = outcomeRefused
		return r
	}
	defer l.releaseNode(n)
	body, _ := json.Marshal(streamRequest{modelName, prompt, maxTokens, true})
	request, _ := http.NewRequest(http.MethodPost, "http://"+n.node.Addresses().Callers+"/v1/completions", bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+a.apiKey())
	request.Header.Set(callerapi.HeaderRank, rank)
	response, err := l.client.Do(request)
	if err != nil {
		r.ended = time.Now()
		return r
	}
	defer response.Body.Close()
	r.id = response.Header.Get(callerapi.HeaderRequestID)
	if response.StatusCode != http.StatusOK {
		r.readRefusal(response.Body)
		return r
	}
	r.readStream(response.Body, prompt)
	return r
}

func (r *result) readRefusal(body io.Reader) {
	var answer refusal.Body
	r.ended = time.Now()
	if err := json.NewDecoder(body).Decode(&answer); err != nil || answer.Error == nil {
		return
	}
	r.refusalKind = answer.Error.Kind
	if answer.Error.Ran == refusal.RanNo {
		r.outcome = outcomeRefused
	}
}

// readStream reads events until [DONE] and compares each token with the expected
// one.
func (r *result) readStream(body io.Reader, prompt string) {
	scanner := bufio.NewScanner(body)
	last := r.sent
	matches, finished := true, false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.finish(matches && finished)
			return
		}
		var event streamEvent
		if json.Unmarshal([]byte(data), &event) != nil || event.Error != nil || len(event.Choices) == 0 {
			break
		}
		if event.Choices[0].FinishReason != "" {
			finished = true
			continue
		}
		now := time.Now()
		r.recordToken(now.Sub(last))
		last = now
		matches = matches && event.Choices[0].Text == engine.Token(modelName, prompt, r.tokens-1)
	}
	r.ended = time.Now()
}

func (r *result) recordToken(gap time.Duration) {
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = gap
		return
	}
	r.gaps = append(r.gaps, gap)
}

func (r *result) finish(complete bool) {
	r.ended = time.Now()
	r.outcome = outcomeWrong
	if complete {
		r.outcome = outcomeServed
	}
}

// runBookingCaller sends each booking twice at the same time, with the same
// idempotency key. pickNode chooses the node of each call, so the two calls can
// reach different nodes.
func (l *loadGenerator) runBookingCaller(ctx context.Context) {
	const bookingInterval = 30 * time.Millisecond
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("booking-%04d", i)
		l.mu.Lock()
		l.bookings = append(l.bookings, booking{key})
		l.mu.Unlock()
		var attempts sync.WaitGroup
		for range 2 {
			attempts.Go(func() { l.book(key) })
		}
		attempts.Wait()
		time.Sleep(bookingInterval)
	}
}

func (l *loadGenerator) book(key string) {
	a := accounts()[2]
	n := l.pickNode()
	if n == nil {
		return
	}
	defer l.releaseNode(n)
	url := "http://" + n.node.Addresses().Callers + "/services/" + serviceName + "/book"
	request, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"alley":3}`))
	request.Header.Set("Authorization", "Bearer "+a.apiKey())
	request.Header.Set(callerapi.HeaderIdempotencyKey, key)
	response, err := l.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// finished returns a copy of the results so far.
func (l *loadGenerator) finished() []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result(nil), l.results...)
}
