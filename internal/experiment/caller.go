package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// request is a request of one caller, including its retries.
type request struct {
	sim            *simulation
	kind           *KindSheet
	promptTokens   int
	answerTokens   int
	receivedTokens int
	sentAt         time.Duration
	deadline       time.Duration
	retriesLeft    int
	retriesAtOnce  bool
	silenceTimeout time.Duration
	call           *call
	done           bool
	refusedBefore  bool
	account        string
	// returnedAsTold is true while the request returns when the last refusal told it to,
	// and promised if it was promised to be served then.
	returnedAsTold, promised bool
	// parts are the shared parts of the prompt. crashes is true if one of them crashes
	// hosts.
	parts   []string
	crashes bool

	hasEvent        bool
	firstEventDelay time.Duration
	lastEventAt     time.Duration
	longestEventGap time.Duration
}

// scheduleArrivals schedules the next request of a kind.
func (sim *simulation) scheduleArrivals(kind *KindSheet) {
	rate := kind.RequestsPerSecond * sim.loadFactor(kind)
	delay := time.Second
	if rate > 0 {
		delay = time.Duration(distuv.Exponential{Rate: rate, Src: sim.arrivals[kind.Name]}.Rand() * float64(time.Second))
	}
	const rateCheckInterval = 250 * time.Millisecond // phases may change the rate
	if delay > rateCheckInterval {
		sim.after(rateCheckInterval, func() { sim.scheduleArrivals(kind) })
		return
	}
	sim.after(delay, func() {
		if sim.now < sim.hosts.loadStart+sim.sheet.Run.Length {
			sim.startRequest(kind)
			sim.scheduleArrivals(kind)
		}
	})
}

// loadFactor is the current load as a multiple of the kind's rate.
func (sim *simulation) loadFactor(kind *KindSheet) float64 {
	factor := 1.0
	if run := sim.sheet.Run; run.Wave > 0 {
		factor += run.Wave * math.Sin(2*math.Pi*float64(sim.now-sim.hosts.loadStart)/float64(run.WavePeriod))
	}
	for _, phase := range sim.activePhases() {
		if phase.Kind == "" || phase.Kind == kind.Name {
			factor *= phase.LoadFactor
		}
	}
	return factor
}

// activePhases returns the phases of the sheet that are active now.
func (sim *simulation) activePhases() []PhaseSheet {
	var active []PhaseSheet
	for _, phase := range sim.sheet.Phases {
		if at := sim.now - sim.hosts.loadStart; at >= phase.Start && at < phase.Start+phase.Duration {
			active = append(active, phase)
		}
	}
	return active
}

// randomTokens returns a number of tokens, 1 or more, from a lognormal distribution
// with the given mean and sigma (the standard deviation of the logarithm). A limit
// above 0 caps it.
func randomTokens(source rand.Source, mean, sigma, limit float64) int {
	tokens := mean
	if sigma > 0 {
		tokens = distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: source}.Rand()
	}
	if limit > 0 {
		tokens = min(tokens, limit)
	}
	return max(int(math.Round(tokens)), 1)
}

func (sim *simulation) startRequest(kind *KindSheet) {
	source := sim.arrivals[kind.Name]
	random := rand.New(source)
	r := &request{
		account: sim.randomAccount(),
		sim:     sim, kind: kind, sentAt: sim.now, deadline: sim.now + kind.RequestTimeout, retriesLeft: kind.CallerRetries, silenceTimeout: kind.SilenceTimeout,
		promptTokens: randomTokens(source, kind.MeanPromptTokens, kind.PromptSigma, kind.MaxPromptTokens),
		answerTokens: randomTokens(source, kind.MeanAnswerTokens, kind.AnswerSigma, kind.MaxAnswerTokens),
	}
	for _, phase := range sim.activePhases() {
		if phase.Kind != "" && phase.Kind != kind.Name {
			continue
		}
		r.retriesAtOnce = r.retriesAtOnce || random.Float64() < phase.ImmediateRetryShare
		if random.Float64() < phase.EarlyLeaveShare {
			sim.after(kind.FirstEventTarget/2, func() { r.abandon() })
		}
	}
	sim.drawParts(r)
	sim.result.recordSent(r)
	r.send()
}

// send sends the request to a random live node.
func (r *request) send() {
	sim := r.sim
	node := sim.nodes[sim.random.IntN(len(sim.nodes))]
	for i := 0; !node.alive && i < len(sim.nodes); i++ {
		node = sim.nodes[(i+sim.random.IntN(len(sim.nodes)))%len(sim.nodes)]
	}
	c := &call{node: node, kind: r.kind, promptTokens: r.promptTokens, answerTokens: r.answerTokens, deliveredTokens: r.receivedTokens, deadline: r.deadline, account: r.account, crashes: r.crashes, identity: sim.identity(r.kind, r.parts)}
	r.call = c
	r.lastEventAt = sim.now
	ifCurrent := func(f func()) func() {
		return func() {
			if r.call == c && !r.done {
				f()
			}
		}
	}
	c.onEvent = ifCurrent(r.recordEvent)
	c.onCompleted = ifCurrent(func() { r.end(outcomeServed) })
	c.onAborted = ifCurrent(func() { r.retryOrEnd(0, outcomeFailed) })
	c.onRefused = func(retryAfter time.Duration, promised bool) {
		if r.call == c && !r.done {
			r.handleRefusal(retryAfter, promised)
		}
	}
	sim.after(sim.sheet.Run.CallerDelay, func() { node.serve(c) })
	r.watchSilence(c)
}

// watchSilence abandons the request at its deadline, or when no event comes within
// the silence timeout.
func (r *request) watchSilence(c *call) {
	checkAt := min(r.lastEventAt+r.silenceTimeout, r.deadline)
	r.sim.after(checkAt-r.sim.now, func() {
		if r.done || r.call != c {
			return
		}
		if r.sim.now >= r.deadline || r.sim.now-r.lastEventAt >= r.silenceTimeout {
			r.abandon()
			return
		}
		r.watchSilence(c)
	})
}

func (r *request) recordEvent() {
	now := r.sim.now
	if !r.hasEvent {
		r.hasEvent = true
		r.firstEventDelay = now - r.sentAt
	} else {
		r.longestEventGap = max(r.longestEventGap, now-r.lastEventAt)
	}
	r.lastEventAt = now
	r.receivedTokens = r.call.deliveredTokens
}

// handleRefusal records a refusal and calls retryOrEnd with the time to wait that
// the refusal gives, or with 0 if the caller ignores that time.
func (r *request) handleRefusal(retryAfter time.Duration, promised bool) {
	r.sim.result.recordRefusal(r)
	if r.refusedBefore {
		r.sim.result.RepeatedRefusals++
	}
	r.refusedBefore = true
	if r.retriesAtOnce {
		retryAfter = 0
	}
	returns := r.retriesLeft > 0 && !r.retriesAtOnce && retryAfter > 0 && retryAfter <= (r.deadline-r.sim.now)/3
	r.sim.result.recordReturn(r, returns, promised)
	r.retryOrEnd(retryAfter, outcomeRefused)
}

// retryOrEnd sends the request again after the delay, but at the latest after a
// third of the time left. Without retries or time left it ends the request with
// finalOutcome.
func (r *request) retryOrEnd(delay time.Duration, finalOutcome outcome) {
	timeLeft := r.deadline - r.sim.now
	if r.retriesLeft <= 0 || timeLeft <= 0 {
		r.end(finalOutcome)
		return
	}
	r.retriesLeft--
	r.call = nil
	r.sim.after(min(delay, timeLeft/3), func() {
		if !r.done {
			r.send()
		}
	})
}

// abandon ends a request that its caller gives up.
func (r *request) abandon() {
	if r.done {
		return
	}
	c := r.call
	r.end(outcomeAbandoned)
	if c != nil {
		r.sim.after(r.sim.sheet.Run.CallerDelay, func() { c.node.abandon(c) })
	}
}

func (r *request) end(o outcome) {
	if r.done {
		return
	}
	r.done = true
	r.sim.result.recordOutcome(r, o)
}

// onTime reports whether the answer so far meets the targets of its kind.
func (r *request) onTime() bool {
	return r.firstEventDelay <= r.kind.FirstEventTarget && (r.kind.EventGapTarget == 0 || r.longestEventGap <= r.kind.EventGapTarget)
}

// largePrompt is the number of prompt tokens that a tenth of the kind's requests reach.
func (k *KindSheet) largePrompt() float64 {
	tokens := k.MeanPromptTokens
	if k.PromptSigma > 0 {
		tokens = distuv.LogNormal{Mu: math.Log(k.MeanPromptTokens) - k.PromptSigma*k.PromptSigma/2, Sigma: k.PromptSigma}.Quantile(0.9)
	}
	if k.MaxPromptTokens > 0 {
		tokens = min(tokens, k.MaxPromptTokens)
	}
	return math.Round(tokens)
}

// sizeWorth is the factor on the worth of the kind. It grows with the size of the
// request and is 1 for one of mean size.
func (r *request) sizeWorth() float64 {
	weightedTokens := float64(r.promptTokens) + answerTokenWeight*float64(r.answerTokens)
	meanWeightedTokens := r.kind.MeanPromptTokens + answerTokenWeight*r.kind.MeanAnswerTokens
	return min(fixedWorth+(1-fixedWorth)*weightedTokens/meanWeightedTokens, maxSizeWorth)
}

// The price list of the users: the worth factor of a request is 0.3 plus 0.7 times
// its size relative to the mean, 4 at most. An answer token counts as ten prompt
// tokens.
const (
	fixedWorth        = 0.3
	maxSizeWorth      = 4.0
	answerTokenWeight = 10
)

// The model's callers belong to accounts, of which a few are large: account n sends in
// proportion to 1/n.
const accounts = 24

// randomAccount draws the account of a request. Its random numbers are not those of the
// other parts of the model.
func (sim *simulation) randomAccount() string {
	total := 0.0
	for n := range accounts {
		total += 1 / float64(n+1)
	}
	remaining := sim.accountRandom.Float64() * total
	for n := range accounts {
		if remaining -= 1 / float64(n+1); remaining < 0 {
			return fmt.Sprint("account", n)
		}
	}
	return "account0"
}
