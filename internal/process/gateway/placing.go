package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

// placingMode is whether nodes ask one another for groups.
type placingMode string

const (
	// placingAuto asks in fleets that exchange loads over hubs, for services whose
	// streams long prompts can delay.
	placingAuto placingMode = "auto"
	placingOn   placingMode = "on"
	placingOff  placingMode = "off"
)

const (
	// placingPrefix starts the datagrams of placing, which nodes of earlier versions
	// ignore because they name no node as digests do.
	placingPrefix = `{"placing":`
	// maxUsageGroups limits the groups of one report.
	maxUsageGroups = 4096
	// maxTimerLateness is how much later than due a wait may end. Later means that this
	// node got no processor time, as one with a small share of a core may for up to a
	// tenth of a second; then nothing is known of the coordinator.
	maxTimerLateness = 5 * time.Millisecond
	// coordinatorsTTL is how long the order of the coordinators is kept.
	coordinatorsTTL = time.Second
)

// placingMessage is a datagram of placing: a report, with or without an ask, or an
// answer.
type placingMessage struct {
	Placing struct {
		Usage  *coordinate.Usage  `json:"usage,omitempty"`
		Ask    *coordinate.Ask    `json:"ask,omitempty"`
		Answer *coordinate.Answer `json:"answer,omitempty"`
		// Key names the requests of an answer.
		Key *coordinate.Key `json:"key,omitempty"`
	} `json:"placing"`
}

// askKey identifies an ask of this node.
type askKey struct {
	coordinate.Key
	id uint64
}

// knownCoordinators are the nodes that may coordinate a key.
type knownCoordinators struct {
	order []string
	at    time.Time
	asked string
}

// coordinator asks other nodes for groups, reports to them, and chooses for them. It
// carries the messages over the socket of the digests. A lost message costs one wait,
// or is replaced by the next report.
type coordinator struct {
	mode    placingMode
	node    string
	peers   *peers
	view    *fleet.ViewHolder
	log     *eventlog.Logger
	metrics tally.Scope
	tracker *coordinate.Tracker
	ledger  *coordinate.Ledger
	targets *coordinate.Targets

	mu      sync.Mutex
	waiting map[askKey]chan coordinate.Answer
	known   map[coordinate.Key]*knownCoordinators
	// matters holds, for the configuration, whether long prompts matter at a service.
	configuration *fleet.Configuration
	matters       map[string]bool
}

func newCoordinator(s *Settings, board *place.Board, view *fleet.ViewHolder, log *eventlog.Logger, metrics tally.Scope) *coordinator {
	return &coordinator{
		mode: s.Coordinate, node: s.Node, view: view, log: log, metrics: metrics, tracker: coordinate.NewTracker(s.Node, time.Now()),
		ledger: coordinate.NewLedger(board), targets: coordinate.NewTargets(), waiting: map[askKey]chan coordinate.Answer{},
		known: map[coordinate.Key]*knownCoordinators{},
	}
}

// Serves implements forward.Coordinator.
func (c *coordinator) Serves(service *fleet.Service) bool {
	switch c.mode {
	case placingOn:
		return service.Engine != nil
	case placingOff:
		return false
	}
	configuration := c.view.Load().Configuration
	if configuration == nil || c.peers.exchangesDirectly() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.configuration != configuration {
		c.configuration, c.matters = configuration, map[string]bool{}
		for name, s := range configuration.Services {
			c.matters[name] = coordinate.Matters(s.Engine, coordinate.LongestPause(configuration, name))
		}
	}
	return c.matters[service.Name]
}

// Begin implements forward.Coordinator.
func (c *coordinator) Begin(key coordinate.Key, host string, promptTokens, tokens int) *coordinate.Use {
	return c.tracker.Begin(key, host, promptTokens, tokens)
}

// Choose implements forward.Coordinator.
func (c *coordinator) Choose(ctx context.Context, key coordinate.Key, ask coordinate.Ask) (coordinate.Answer, func()) {
	if c.service(key) == nil {
		return coordinate.Answer{}, func() {} // callers may name any model
	}
	asked := c.askedNode(key, time.Now())
	if asked == "" {
		return coordinate.Answer{}, func() {}
	}
	c.metrics.Counter("placing_asks").Inc(1)
	ask.ID = c.tracker.OpenAsk(key)
	release := func() { c.tracker.CloseAsk(key, ask.ID) }
	usage := c.tracker.Usage(key, time.Now())
	if asked == c.node {
		return c.answer(usage, ask, time.Now()), release
	}
	answers, id := make(chan coordinate.Answer, 1), askKey{key, ask.ID}
	c.mu.Lock()
	c.waiting[id] = answers
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	var message placingMessage
	message.Placing.Usage, message.Placing.Ask = &usage, &ask
	started := time.Now()
	c.send(asked, message)
	answer, answered := awaitAnswer(ctx, answers, coordinate.AskTimeout)
	lateness := time.Since(started) - coordinate.AskTimeout
	if !answered && lateness > maxTimerLateness {
		// This node was not running, and the answer may be in its socket.
		answer, answered = awaitAnswer(ctx, answers, maxTimerLateness)
	}
	switch {
	case answered:
		c.targets.Answered(asked)
		if answer.Full {
			c.metrics.Counter("placing_full").Inc(1)
		}
	case ctx.Err() == nil:
		c.metrics.Counter("placing_timeouts").Inc(1)
		if lateness <= maxTimerLateness && c.targets.TimedOut(asked, time.Now()) {
			c.log.LogLimited(eventlog.CoordinatorSilent, eventlog.Fields{"coordinator": asked, "service": key.Service, "model": key.Model})
		}
	}
	return answer, release
}

// awaitAnswer waits for an answer, for the given time at most.
func awaitAnswer(ctx context.Context, answers <-chan coordinate.Answer, timeout time.Duration) (coordinate.Answer, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return coordinate.Answer{}, false
}

// runReports reports what is in flight until ctx ends.
func (c *coordinator) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, usage := range c.tracker.Due(now) {
			for _, name := range c.targets.Reported(c.coordinators(usage.Key, now).order, now) {
				if name == c.node {
					c.observe(usage, now)
					continue
				}
				var message placingMessage
				message.Placing.Usage = &usage
				c.send(name, message)
			}
		}
		sleep(ctx, coordinate.ReportInterval(len(c.peers.nodes())))
	}
}

// receive handles a datagram of placing. It runs on the receiver of digests.
func (c *coordinator) receive(content []byte, from net.Addr) {
	var message placingMessage
	if json.Unmarshal(content, &message) != nil {
		return // not a message of this version
	}
	m, now := message.Placing, time.Now()
	switch {
	case m.Answer != nil && m.Key != nil:
		c.mu.Lock()
		answers := c.waiting[askKey{*m.Key, m.Answer.ID}]
		c.mu.Unlock()
		if answers != nil {
			select {
			case answers <- *m.Answer:
			default: // a repeated answer
			}
		}
	case m.Usage == nil || !validUsage(*m.Usage):
	case m.Ask == nil:
		c.observe(*m.Usage, now)
	default:
		answer := c.answer(*m.Usage, *m.Ask, now)
		var reply placingMessage
		reply.Placing.Answer, reply.Placing.Key = &answer, &m.Usage.Key
		if content, err := json.Marshal(reply); err == nil {
			_, _ = c.peers.conn.WriteTo(content, from) // a lost answer costs the asking node one wait
		}
	}
}

// validUsage reports whether a report can be one of a node.
func validUsage(u coordinate.Usage) bool {
	if u.Node == "" || len(u.Node) > maxNodeNameBytes || len(u.Groups) > maxUsageGroups || len(u.Quiet) > maxUsageGroups {
		return false
	}
	for _, quiet := range u.Quiet {
		if quiet < 0 {
			return false
		}
	}
	for _, load := range u.Groups {
		if load.Requests <= 0 || load.PrefillTokens < 0 || load.Tokens < 0 {
			return false
		}
	}
	return true
}

// service returns the service of a key if it serves the model, and otherwise nil.
func (c *coordinator) service(key coordinate.Key) *fleet.Service {
	configuration := c.view.Load().Configuration
	if configuration == nil {
		return nil
	}
	service := configuration.Services[key.Service]
	if service == nil || service.Engine == nil || service.Engine.Model(key.Model) == nil {
		return nil
	}
	return service
}

func (c *coordinator) observe(usage coordinate.Usage, now time.Time) {
	if service := c.service(usage.Key); service != nil {
		c.ledger.Observe(usage, service, now)
	}
}

func (c *coordinator) answer(usage coordinate.Usage, ask coordinate.Ask, now time.Time) coordinate.Answer {
	service := c.service(usage.Key)
	if service == nil {
		return coordinate.Answer{ID: ask.ID}
	}
	return c.ledger.Place(usage, ask, service, c.view.Load(), now)
}

// askedNode returns the node that is asked for the key, and logs when it is another one.
func (c *coordinator) askedNode(key coordinate.Key, now time.Time) string {
	known := c.coordinators(key, now)
	asked := c.targets.Asked(known.order, now)
	c.mu.Lock()
	former := known.asked
	known.asked = asked
	c.mu.Unlock()
	if former != asked {
		c.log.LogLimited(eventlog.CoordinatorChosen, eventlog.Fields{"coordinator": asked, "former": former, "service": key.Service, "model": key.Model})
	}
	return asked
}

// coordinators returns the nodes that may coordinate the key. The order is not changed.
func (c *coordinator) coordinators(key coordinate.Key, now time.Time) *knownCoordinators {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[key]
	if known != nil && now.Sub(known.at) < coordinatorsTTL {
		return known
	}
	fresh := &knownCoordinators{order: coordinate.Order(key, c.peers.nodes()), at: now}
	if known != nil {
		fresh.asked = known.asked
	}
	c.known[key] = fresh
	return fresh
}

func (c *coordinator) send(node string, message placingMessage) {
	content, err := json.Marshal(message)
	address := c.peers.udpAddress(node)
	if err != nil || len(content) > maxDigestBytes || address == nil {
		return
	}
	_, _ = c.peers.conn.WriteTo(content, address)
}

// isPlacing reports whether a datagram is one of placing.
func isPlacing(content []byte) bool { return bytes.HasPrefix(content, []byte(placingPrefix)) }

// exchangesDirectly reports whether loads come from each node directly.
func (p *peers) exchangesDirectly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isFullMesh()
}

// nodes returns this node and the other nodes that are known by name.
func (p *peers) nodes() []coordinate.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes := []coordinate.Node{{Name: p.node, Share: p.self.Share}}
	for name, other := range p.byName {
		if other.Domain != "" { // a seed has no domain yet
			nodes = append(nodes, coordinate.Node{Name: name, Share: other.Share})
		}
	}
	return nodes
}

// udpAddress returns the address of another node, or nil.
func (p *peers) udpAddress(name string) net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.byName[name]
	if other == nil {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp", other.Address)
	if err != nil {
		return nil // rows contain IP addresses; anything else is no peer
	}
	return address
}
