package experiment

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// request is what one caller wants, over all its attempts.
type request struct {
	play     *play
	kind     *KindSheet
	prompt   int
	answer   int
	written  int
	sent     time.Duration
	due      time.Duration
	returns  int
	atOnce   bool
	patience time.Duration
	call     *call
	over     bool
	refused  bool

	began     bool
	first     time.Duration
	lastEvent time.Duration
	pause     time.Duration
}

// arrivals schedules the next request of a kind.
func (p *play) arrivals(kind *KindSheet) {
	rate := kind.Rate * p.factor(kind)
	wait := time.Second
	if rate > 0 {
		wait = time.Duration(distuv.Exponential{Rate: rate, Src: p.source}.Rand() * float64(time.Second))
	}
	const maxWait = 250 * time.Millisecond // the rate is looked at again after this
	if wait > maxWait {
		p.after(maxWait, func() { p.arrivals(kind) })
		return
	}
	p.after(wait, func() {
		if p.now < p.hosts.traffic+p.sheet.Run.Length {
			p.send(kind)
			p.arrivals(kind)
		}
	})
}

// factor is the present load in multiples of the kind's rate.
func (p *play) factor(kind *KindSheet) float64 {
	factor := 1.0
	for _, phase := range p.phases() {
		if phase.Kind == "" || phase.Kind == kind.Name {
			factor *= phase.Factor
		}
	}
	return factor
}

// phases returns those of the present moment.
func (p *play) phases() []PhaseSheet {
	var out []PhaseSheet
	for _, phase := range p.sheet.Phases {
		if at := p.now - p.hosts.traffic; at >= phase.At && at < phase.At+phase.For {
			out = append(out, phase)
		}
	}
	return out
}

// size draws from a lognormal distribution with the given mean and spread (the
// standard deviation of the logarithm).
func (p *play) size(mean, spread, most float64) int {
	x := mean
	if spread > 0 {
		x = distuv.LogNormal{Mu: math.Log(mean) - spread*spread/2, Sigma: spread, Src: p.source}.Rand()
	}
	if most > 0 {
		x = min(x, most)
	}
	return max(int(math.Round(x)), 1)
}

func (p *play) send(kind *KindSheet) {
	r := &request{
		play: p, kind: kind, sent: p.now, due: p.now + kind.TimeLimit, returns: kind.Returns, patience: kind.Patience,
		prompt: p.size(kind.PromptTokens, kind.PromptSpread, kind.PromptMax),
		answer: p.size(kind.AnswerTokens, kind.AnswerSpread, kind.AnswerMax),
	}
	for _, phase := range p.phases() {
		if phase.Kind != "" && phase.Kind != kind.Name {
			continue
		}
		r.atOnce = r.atOnce || p.random.Float64() < phase.AtOnce
		if p.random.Float64() < phase.Leave {
			p.after(kind.Target/2, func() { r.leave() })
		}
	}
	p.result.owe(r)
	r.attempt()
}

// attempt sends the request to a node that lives.
func (r *request) attempt() {
	p := r.play
	node := p.nodes[p.random.IntN(len(p.nodes))]
	for i := 0; !node.alive && i < len(p.nodes); i++ {
		node = p.nodes[(i+p.random.IntN(len(p.nodes)))%len(p.nodes)]
	}
	c := &call{node: node, kind: r.kind, prompt: r.prompt, answer: r.answer, written: r.written, due: r.due}
	r.call = c
	r.lastEvent = p.now
	current := func(f func()) func() {
		return func() {
			if r.call == c && !r.over {
				f()
			}
		}
	}
	c.event = current(r.event)
	c.completed = current(func() { r.end(outcomeServed) })
	c.cut = current(func() { r.comeBack(0, outcomeFailed) })
	c.refused = func(after time.Duration) {
		if r.call == c && !r.over {
			r.turnedAway(after)
		}
	}
	p.after(p.sheet.Run.CallerDelay, func() { node.serve(c) })
	r.watch(c)
}

// watch gives up after a silence beyond the caller's patience, or at its time
// limit.
func (r *request) watch(c *call) {
	next := min(r.lastEvent+r.patience, r.due)
	r.play.after(next-r.play.now, func() {
		if r.over || r.call != c {
			return
		}
		if r.play.now >= r.due || r.play.now-r.lastEvent >= r.patience {
			r.leave()
			return
		}
		r.watch(c)
	})
}

func (r *request) event() {
	now := r.play.now
	if !r.began {
		r.began = true
		r.first = now - r.sent
	} else {
		r.pause = max(r.pause, now-r.lastEvent)
	}
	r.lastEvent = now
	r.written = r.call.written
}

// turnedAway handles a refusal.
func (r *request) turnedAway(after time.Duration) {
	r.play.result.refusal(r)
	if r.refused {
		r.play.result.RefusedAgain++
	}
	r.refused = true
	if r.atOnce {
		after = 0
	}
	r.comeBack(after, outcomeRefused)
}

// comeBack sends the request again where the caller still wants that.
func (r *request) comeBack(after time.Duration, otherwise outcome) {
	left := r.due - r.play.now
	if r.returns <= 0 || left <= 0 {
		r.end(otherwise)
		return
	}
	r.returns--
	r.call = nil
	r.play.after(min(after, left/3), func() {
		if !r.over {
			r.attempt()
		}
	})
}

// leave ends a request that its caller has given up.
func (r *request) leave() {
	if r.over {
		return
	}
	c := r.call
	r.end(outcomeLeft)
	if c != nil {
		r.play.after(r.play.sheet.Run.CallerDelay, func() { c.node.leave(c) })
	}
}

func (r *request) end(o outcome) {
	if r.over {
		return
	}
	r.over = true
	r.play.result.settle(r, o)
}

// worth is what the request earns when it is on time: larger ones count for
// more than the usual one of their kind.
func (r *request) worth() float64 {
	size := float64(r.prompt) + tokenWeight*float64(r.answer)
	mean := r.kind.PromptTokens + tokenWeight*r.kind.AnswerTokens
	return min(baseWorth+(1-baseWorth)*size/mean, maxSizeWorth)
}

// The users' price list: a request is worth 0.3 + 0.7 times its size against
// the mean, at most 4 times, where a token written counts as ten read.
const (
	baseWorth    = 0.3
	maxSizeWorth = 4.0
	tokenWeight  = 10
)
