//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
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

// heartbeat is the time between two entries of a worker (heartbeat_ms of the sites).
const heartbeat = 1200 * time.Millisecond

// workerEntry is a worker's entry in the store.
type workerEntry struct {
	Service  string           `json:"service"`
	Address  string           `json:"address"`
	Zone     string           `json:"zone"`
	Domain   string           `json:"domain,omitempty"`
	Version  string           `json:"version"`
	Slots    int              `json:"slots"`
	State    string           `json:"state"`
	ColdLeft float64          `json:"cold_left_ms"`
	Seq      int64            `json:"seq"`
	Born     int64            `json:"born"`
	Models   []map[string]any `json:"models,omitempty"`
	Staged   []string         `json:"staged,omitempty"`
	Group    *workerGroup     `json:"group,omitempty"`
}

type workerGroup struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
	model   string
}

// worker is a worker process: SIGUSR1 makes it report draining.
type worker struct {
	id, platform string
	// unframedEvery makes each stream or answer of that number one without a length, which ends
	// with its channel; 0 for none.
	unframedEvery int64
	requests      atomic.Int64
	interval      time.Duration
	work          time.Duration
	load          time.Duration
	// late holds, by position among the join orders that come, after which time one is carried
	// out that gets no answer.
	late  map[int]time.Duration
	joins int

	mu           sync.Mutex
	entry        workerEntry
	highestEpoch int64
	lastModel    string
	running      int
}

func runWorker(args []string) {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{}
	flags.StringVar(&w.id, "id", "", "id")
	flags.StringVar(&w.entry.Service, "service", "", "service")
	flags.StringVar(&w.platform, "platform", "", "address of the platform")
	flags.StringVar(&w.entry.Zone, "zone", "z0", "zone")
	flags.StringVar(&w.entry.Domain, "domain", "", "domain of a model worker; none for a plain worker")
	flags.Int64Var(&w.unframedEvery, "unframed-every", 0, "each so many-th answer has no length and ends with its channel")
	flags.DurationVar(&w.interval, "interval", 60*time.Millisecond, "time between two events, or between the two halves of a plain answer")
	flags.DurationVar(&w.work, "work", 60*time.Millisecond, "time of a plain request until its answer begins")
	flags.DurationVar(&w.load, "load", time.Second, "time of a load before traffic")
	late := flags.String("late", "", "join orders without an answer that are carried out late, as POSITION=TIME,...")
	listen := flags.String("listen", "127.0.0.1:0", "address")
	_ = flags.Parse(args)
	w.late = map[int]time.Duration{}
	for part := range strings.SplitSeq(*late, ",") {
		position, delay, _ := strings.Cut(part, "=")
		if n, err := strconv.Atoi(position); err == nil {
			w.late[n], _ = time.ParseDuration(delay)
		}
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.entry.Address, w.entry.Version, w.entry.Slots, w.entry.State, w.entry.Born = listener.Addr().String(), "v1", 26, "ready", time.Now().UnixMilli()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			w.change(func() { w.entry.State = "draining" })
		}
	}()
	go func() {
		for {
			w.change(func() {})
			time.Sleep(heartbeat)
		}
	}()
	_ = http.Serve(listener, w)
}

// change changes the worker's state and writes its entry.
func (w *worker) change(apply func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply()
	w.post("/lab/register?id="+w.id, w.entry)
}

func (w *worker) post(path string, value any) {
	encoded, _ := json.Marshal(value)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.platform+path, bytes.NewReader(encoded))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Currantladder-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Currantladder-Not-Run", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "both", "models": w.entry.Models, "busy": false, "seq": w.entry.Seq, "waiting": 0, "running": w.running, "kv_used": 0, "kv_total": 1400000, "handles": 0, "pace": 1, "born": w.entry.Born})
	case "/order":
		w.handleOrder(out, r)
	default:
		w.handleRequest(out, r)
	}
}

type workerOrder struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Mode    string   `json:"mode"`
}

func (w *worker) handleOrder(out http.ResponseWriter, r *http.Request) {
	var o workerOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if delay := w.lateness(o); delay > 0 {
		w.post("/lab/order", orderEvent{Worker: w.id, Op: o.Op, Group: o.Group, Epoch: o.Epoch, Unanswered: true})
		time.AfterFunc(delay, func() { w.carryOut(o) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	out.WriteHeader(w.carryOut(o))
}

// lateness returns after which time an order without an answer is carried out, or 0.
func (w *worker) lateness(o workerOrder) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Op != "join" {
		return 0
	}
	w.joins++
	return w.late[w.joins]
}

// carryOut carries out an order and tells the lab of it, with the group that the worker was in.
func (w *worker) carryOut(o workerOrder) (status int) {
	event := orderEvent{Worker: w.id, Op: o.Op, Group: o.Group, Epoch: o.Epoch}
	w.change(func() {
		if g := w.entry.Group; g != nil {
			event.OldGroup, event.OldHead, event.OldState = g.Name, g.members[0], g.State
		}
		status = w.apply(o)
	})
	event.Status = status
	w.post("/lab/order", event)
	return status
}

// apply carries out an order. The caller holds mu.
func (w *worker) apply(o workerOrder) int {
	g := w.entry.Group
	member := g != nil && g.Name == o.Group && g.Epoch == o.Epoch
	switch o.Op {
	case "stage":
		w.after(w.load, func() { w.entry.Staged = []string{o.Model} })
	case "join":
		if member && slices.Equal(g.members, o.Members) {
			return http.StatusOK
		}
		if o.Epoch < w.highestEpoch || member {
			return http.StatusPreconditionFailed
		}
		w.highestEpoch = o.Epoch
		load := w.load
		switch {
		case w.lastModel == o.Model:
			load = 200 * time.Millisecond
		case slices.Contains(w.entry.Staged, o.Model):
			load = 1100 * time.Millisecond
		}
		joined := &workerGroup{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.id), State: "joining", members: o.Members, model: o.Model}
		w.entry.Group = joined
		w.after(load, func() {
			if w.entry.Group == joined {
				joined.State, w.lastModel, w.entry.Staged = "ready", o.Model, []string{o.Model}
				w.entry.Models = []map[string]any{{"name": o.Model, "version": 1, "adapters": []string{}}}
			}
		})
	case "open":
		if !member || g.Rank != 0 || g.State != "ready" {
			return http.StatusConflict
		}
		w.after(300*time.Millisecond, func() {
			if w.entry.Group == g && g.State == "ready" {
				g.State = "open"
			}
		})
	case "close":
		if !member {
			return http.StatusConflict
		}
		g.State = "ready"
		if w.running > 0 && o.Mode != "preempt" {
			g.State = "closing"
		}
	case "leave":
		if !member {
			return http.StatusConflict
		}
		w.entry.Group = nil
	default:
		return http.StatusBadRequest
	}
	w.entry.Seq++
	return http.StatusAccepted
}

func (w *worker) after(delay time.Duration, apply func()) {
	time.AfterFunc(delay, func() { w.change(apply) })
}

func (w *worker) handleRequest(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Currantladder-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body) // the whole request is read before its answer begins
	if w.entry.Domain != "" {
		w.handleStream(out, r, id)
		return
	}
	w.post("/lab/ran", run{Request: id, Worker: w.id})
	time.Sleep(w.work)
	content := plainAnswer(id)
	if !w.isUnframed() {
		out.Header().Set("X-Currantladder-Request-Id", id)
		out.Header().Set("X-Currantladder-Answer-Seal", "seal-"+id)
		_, _ = out.Write([]byte(content))
		return
	}
	conn := hijack(out, id, "application/octet-stream")
	if conn == nil {
		return
	}
	defer conn.Close()
	_, _ = conn.Write([]byte(content[:len(content)/2]))
	time.Sleep(w.interval)
	_, _ = conn.Write([]byte(content[len(content)/2:]))
}

// isUnframed counts an answer and reports whether it has no length.
func (w *worker) isUnframed() bool {
	n := w.requests.Add(1)
	return w.unframedEvery > 0 && n%w.unframedEvery == 0
}

// plainAnswer is the whole body of the answer to a plain request.
func plainAnswer(id string) string { return strings.Repeat("answer to "+id+"\n", 800/(len(id)+11)) }

// hijack writes the head of an answer without a length, which ends with its channel.
func hijack(out http.ResponseWriter, id, contentType string) net.Conn {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return nil
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Currantladder-Request-Id: %s\r\nX-Currantladder-Answer-Seal: seal-%s\r\nConnection: close\r\n\r\n", contentType, id, id)
	return conn
}

func (w *worker) handleStream(out http.ResponseWriter, r *http.Request, id string) {
	w.mu.Lock()
	g := w.entry.Group
	open := g != nil && g.Rank == 0 && g.State == "open"
	misdirected := g != nil && g.Rank > 0
	if open {
		w.running++
	}
	w.mu.Unlock()
	if !open {
		out.Header().Set("X-Currantladder-Request-Id", id)
		out.Header().Set("X-Currantladder-Not-Run", "1")
		out.WriteHeader(map[bool]int{true: http.StatusMisdirectedRequest, false: http.StatusServiceUnavailable}[misdirected])
		return
	}
	defer w.change(func() {
		w.running--
		if w.running == 0 && g.State == "closing" && w.entry.Group == g {
			g.State = "ready"
		}
	})
	counts := strings.Split(r.Header.Get("X-Currantladder-Token-Count"), ",")
	last, _ := strconv.Atoi(counts[len(counts)-1])
	resume, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.post("/lab/ran", run{Request: id, Worker: w.id})
	write := func(n int) bool {
		_, err := fmt.Fprintf(out, "id: %d\ndata: %s piece %d\n\n", n, id, n)
		return err == nil && http.NewResponseController(out).Flush() == nil
	}
	if w.isUnframed() {
		conn := hijack(out, id, "text/event-stream")
		if conn == nil {
			return
		}
		defer conn.Close()
		write = func(n int) bool {
			_, err := fmt.Fprintf(conn, "id: %d\ndata: %s piece %d\n\n", n, id, n)
			return err == nil
		}
	} else {
		out.Header().Set("X-Currantladder-Request-Id", id)
		out.Header().Set("X-Currantladder-Answer-Seal", "seal-"+id)
		out.Header().Set("Content-Type", "text/event-stream")
	}
	for n := resume + 1; n <= last; n++ {
		time.Sleep(w.interval)
		w.mu.Lock()
		left := w.entry.Group != g
		w.mu.Unlock()
		if left {
			panic(http.ErrAbortHandler) // the group that ran the stream is gone
		}
		if !write(n) {
			return
		}
	}
}
