//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is the stand-in of one worker, plain or of a model. On standard output it
// reports "listening ADDRESS", "ran REQUEST", "unframed REQUEST" and "draining".
// SIGUSR1 makes it register as draining.
type worker struct {
	id, service, zone, domain, store string
	address                          string
	born                             time.Time
	work                             time.Duration
	// unframedEvery is n if each n-th stream has an answer without length or chunks.
	unframedEvery int
	streams       atomic.Int64

	mu       sync.Mutex
	draining bool
	seq      int64
	staged   string
	previous string
	highest  int64
	group    *membership
}

type membership struct {
	name, model, state string
	epoch              int64
	members            []string
	running            int
}

// Times of the model workers of lsac-bookings, and of an event of a stream.
const (
	rejoinTime    = 200 * time.Millisecond
	stagedTime    = 1100 * time.Millisecond
	formTime      = 300 * time.Millisecond
	eventInterval = 100 * time.Millisecond
)

func runWorker(args []string) error {
	w := &worker{born: time.Now()}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "id")
	flags.StringVar(&w.store, "store", "", "address of the store")
	flags.StringVar(&w.service, "service", "", "service")
	flags.StringVar(&w.zone, "zone", "", "zone")
	flags.StringVar(&w.domain, "domain", "", "domain in the fabric, for a model worker")
	flags.DurationVar(&w.work, "work", 60*time.Millisecond, "work of a plain request")
	flags.IntVar(&w.unframedEvery, "unframed-every", 0, "each n-th stream is unframed")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	fmt.Println("listening " + w.address)
	notices := make(chan os.Signal, 1)
	signal.Notify(notices, syscall.SIGUSR1)
	go func() {
		for range notices {
			w.change(func() { w.draining = true })
			fmt.Println("draining")
		}
	}()
	w.change(func() {})
	return http.Serve(listener, w)
}

// change changes the state and registers it.
func (w *worker) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	w.register()
}

// register writes the entry of the worker. The caller holds mu.
func (w *worker) register() {
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "seq": w.seq, "born": w.born.UnixMilli(),
	}
	if w.draining {
		entry["state"] = "draining"
	}
	if w.domain != "" {
		entry["slots"], entry["domain"], entry["stage"], entry["models"], entry["staged"] = 26, w.domain, "both", []any{}, []string{}
		if w.staged != "" {
			entry["staged"] = []string{w.staged}
		}
		if g := w.group; g != nil {
			entry["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": slices.Index(g.members, w.id), "state": g.state}
			if g.state != "joining" {
				entry["models"] = []any{map[string]any{"name": g.model, "version": 1, "adapters": []string{}}}
			}
		}
	}
	value, _ := json.Marshal(entry) // a map of plain values can always be encoded
	body, _ := json.Marshal(map[string]any{
		"expected": []any{}, "remove": []any{},
		"puts": []any{map[string]any{"table": "servers", "part": "", "key": w.id, "value": base64.StdEncoding.EncodeToString(value)}},
	})
	response, err := http.Post("http://"+w.store+"/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, "register:", err)
		return
	}
	response.Body.Close()
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Currantladder-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Currantladder-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		out.Header().Set("X-Currantladder-Instance-Id", w.id)
	case "/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "both", "seq": w.seq, "pace": 1})
	case "/order":
		w.handleOrder(out, r)
	default:
		w.handleRequest(out, r)
	}
}

type order struct {
	Op, Group, Model, Mode string
	Epoch                  int64
	Members                []string
}

func (w *worker) handleOrder(out http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	status := http.StatusAccepted
	w.change(func() { status = w.apply(o) })
	out.WriteHeader(status)
}

// apply carries out an order. The caller holds mu.
func (w *worker) apply(o order) int {
	g := w.group
	isMember := g != nil && g.name == o.Group && g.epoch == o.Epoch
	switch {
	case o.Op == "stage":
		w.after(rejoinTime, func() { w.staged = o.Model }) // before the first request
	case o.Op == "join":
		return w.join(o, isMember)
	case !isMember:
		return http.StatusConflict
	case o.Op == "open" && g.state == "open":
		return http.StatusOK
	case o.Op == "open" && (g.state != "ready" || g.members[0] != w.id):
		return http.StatusConflict
	case o.Op == "open":
		w.after(formTime, func() {
			if w.group == g && g.state == "ready" {
				g.state = "open"
			}
		})
	case o.Op == "close":
		g.state = "ready"
		if g.running > 0 {
			g.state = "closing"
		}
	case o.Op == "leave":
		w.previous, w.group = g.model, nil
	default:
		return http.StatusBadRequest
	}
	w.seq++
	return http.StatusAccepted
}

// join makes the worker a member of a group. The caller holds mu.
func (w *worker) join(o order, isMember bool) int {
	if o.Epoch < w.highest {
		return http.StatusPreconditionFailed
	}
	if isMember {
		return http.StatusOK
	}
	takes := stagedTime
	if w.group != nil {
		w.previous = w.group.model
	}
	if o.Model == w.previous {
		takes = rejoinTime
	}
	w.highest = o.Epoch
	g := &membership{name: o.Group, epoch: o.Epoch, model: o.Model, members: o.Members, state: "joining"}
	w.group = g
	w.seq++
	w.after(takes, func() {
		if w.group == g {
			g.state, w.staged = "ready", o.Model
		}
	})
	return http.StatusAccepted
}

func (w *worker) after(delay time.Duration, f func()) { time.AfterFunc(delay, func() { w.change(f) }) }

func (w *worker) handleRequest(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Currantladder-Request-Id")
	out.Header().Set("X-Currantladder-Request-Id", id)
	if w.domain != "" {
		w.handleStream(out, r, id)
		return
	}
	fmt.Println("ran " + id)
	time.Sleep(w.work)
	out.Header().Set("X-Currantladder-Answer-Seal", "seal."+w.id+"."+id)
	fmt.Fprintf(out, "answer to %s", id)
}

// handleStream writes the events after Last-Event-Id; an event holds five tokens.
func (w *worker) handleStream(out http.ResponseWriter, r *http.Request, id string) {
	w.mu.Lock()
	g := w.group
	open := g != nil && g.state == "open" && g.members[0] == w.id
	if open {
		g.running++
	}
	w.mu.Unlock()
	if !open {
		out.Header().Set("X-Currantladder-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.change(func() {
		if g.running--; g.running == 0 && g.state == "closing" {
			g.state = "ready"
		}
	})
	_, tokens, _ := strings.Cut(r.Header.Get("X-Currantladder-Token-Count"), ",")
	most, _ := strconv.Atoi(tokens) // 0 without a count: an empty stream
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Printf("ran %s from event %d\n", id, from+1)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Currantladder-Answer-Seal", "seal."+w.id+"."+id)
	out.Header().Set("X-Currantladder-Weight-Versions", "1")
	if n := int(w.streams.Add(1)); w.unframedEvery > 0 && n%w.unframedEvery == 0 {
		// net/http then sends no chunks and ends the connection with the answer.
		out.Header().Set("Transfer-Encoding", "identity")
		fmt.Println("unframed " + id)
	}
	flush := http.NewResponseController(out)
	for n := from + 1; n <= most/5; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		fmt.Fprintf(out, "id: %d\ndata: %s piece %d\n\n", n, id, n)
		if flush.Flush() != nil {
			return
		}
	}
}
