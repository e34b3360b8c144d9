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

// outcome is how one request ended as its caller saw it.
type outcome string

// Outcomes. A wrong answer ended as whole but does not match its request.
const (
	served  outcome = "served"
	refused outcome = "refused"
	unknown outcome = "unknown"
	wrong   outcome = "wrong"
)

// result is one finished request.
type result struct {
	id         string
	account    string
	rank       string
	node       *fleetNode
	outcome    outcome
	kind       refusal.Kind
	sent       time.Time
	ended      time.Time
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
	// promptTokens count against the cap once a token was generated.
	promptTokens int
}

// charged returns the tokens that count against the account's cap.
func (r result) charged() int {
	if r.tokens == 0 {
		return 0
	}
	return r.tokens + r.promptTokens
}

// load drives callers against the live nodes.
type load struct {
	fleet  *fleet
	client *http.Client

	mu       sync.Mutex
	results  []result
	bookings []booking
	inFlight map[*fleetNode]int
}

// booking is one key of a non-idempotent call and how its tries ended.
type booking struct{ key string }

func newLoad(f *fleet) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &load{fleet: f, client: &http.Client{Transport: transport}, inFlight: make(map[*fleetNode]int)}
}

// run drives every account until ctx ends, then waits for what is in flight.
func (l *load) run(ctx context.Context) {
	var callers sync.WaitGroup
	seed := uint64(1)
	for _, a := range accounts() {
		for range a.workers {
			random := rand.New(rand.NewPCG(seed, seed))
			seed++
			callers.Go(func() { l.caller(ctx, a, random) })
		}
	}
	callers.Go(func() { l.bookingCaller(ctx) })
	callers.Wait()
	l.client.CloseIdleConnections()
}

// caller sends one request after another.
func (l *load) caller(ctx context.Context, a account, random *rand.Rand) {
	const refusedPause = 50 * time.Millisecond
	for ctx.Err() == nil {
		rank := rankNames[random.IntN(len(rankNames))]
		prompt := promptOf(a.name, random)
		r := l.complete(a, rank, prompt, 20+random.IntN(60))
		l.add(r)
		if r.outcome != served {
			time.Sleep(refusedPause)
		}
	}
}

// promptOf draws a prompt whose leading part is shared by many requests.
func promptOf(name string, random *rand.Rand) string {
	topic := random.IntN(12)
	shared := strings.Repeat(fmt.Sprintf("winter route advice topic %d ", topic), 6)
	return fmt.Sprintf("%s question %d of %s", shared, random.IntN(1_000_000), name)
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// pick returns a live node in the manner of a balancer.
func (l *load) pick() *fleetNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.fleet.live()
	if len(live) == 0 {
		return nil
	}
	best := live[0]
	for _, n := range live {
		if l.inFlight[n] < l.inFlight[best] {
			best = n
		}
	}
	l.inFlight[best]++
	return best
}

func (l *load) leave(n *fleetNode) {
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

// complete runs one streamed completion and compares the answer with what the
// model gives for this prompt.
func (l *load) complete(a account, rank, prompt string, maxTokens int) result {
	n := l.pick()
	r := result{account: a.name, rank: rank, node: n, outcome: unknown, sent: time.Now(), promptTokens: endpoint.CountTokens(prompt)}
	if n == nil {
		r.outcome = refused
		return r
	}
	defer l.leave(n)
	body, _ := json.Marshal(streamRequest{modelName, prompt, maxTokens, true})
	request, _ := http.NewRequest(http.MethodPost, "http://"+n.node.Addresses().Callers+"/v1/completions", bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+a.key())
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
	r.kind = answer.Error.Kind
	if answer.Error.Ran == refusal.RanNo {
		r.outcome = refused
	}
}

// readStream reads events until [DONE] and checks each token.
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
			r.conclude(matches && finished)
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
		r.token(now.Sub(last))
		last = now
		matches = matches && event.Choices[0].Text == engine.Token(modelName, prompt, r.tokens-1)
	}
	r.ended = time.Now()
}

func (r *result) token(gap time.Duration) {
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = gap
		return
	}
	r.gaps = append(r.gaps, gap)
}

func (r *result) conclude(whole bool) {
	r.ended = time.Now()
	r.outcome = wrong
	if whole {
		r.outcome = served
	}
}

// bookingCaller sends each booking twice, at two nodes at once, under one key.
func (l *load) bookingCaller(ctx context.Context) {
	const pause = 30 * time.Millisecond
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("booking-%04d", i)
		l.mu.Lock()
		l.bookings = append(l.bookings, booking{key})
		l.mu.Unlock()
		var tries sync.WaitGroup
		for range 2 {
			tries.Go(func() { l.book(key) })
		}
		tries.Wait()
		time.Sleep(pause)
	}
}

func (l *load) book(key string) {
	a := accounts()[2]
	n := l.pick()
	if n == nil {
		return
	}
	defer l.leave(n)
	url := "http://" + n.node.Addresses().Callers + "/services/" + serviceName + "/book"
	request, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"alley":3}`))
	request.Header.Set("Authorization", "Bearer "+a.key())
	request.Header.Set(callerapi.HeaderIdempotencyKey, key)
	response, err := l.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// finished returns a copy of the results so far.
func (l *load) finished() []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result(nil), l.results...)
}
