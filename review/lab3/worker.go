//go:build review

package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Headers of the users' pages.
const (
	headerID       = "X-Currantladder-Request-Id"
	headerSeal     = "X-Currantladder-Answer-Seal"
	headerNotRun   = "X-Currantladder-Not-Run"
	headerInstance = "X-Currantladder-Expect-Instance"
	headerTenant   = "X-Currantladder-Tenant"
	headerKey      = "X-Api-Key"
	headerDeadline = "X-Currantladder-Deadline-Ms"
)

// worker is a plain worker of the users' platform. The path of a request says how it works:
// a segment "long" stands for one that works for longTime and whose answer has no length, "slow" for
// one that works for slowTime, and "stream" for one that is answered by events.
//
// A worker whose id ends with "-grey" fails two fifths of its requests after it has run them.
type worker struct {
	id   string
	runs *os.File
	ran  atomic.Int64
}

// workTime, slowTime and longTime are how long requests take. A stream has streamEvents events with
// eventInterval between them.
const (
	workTime      = 20 * time.Millisecond
	slowTime      = 400 * time.Millisecond
	longTime      = 3 * time.Second
	streamEvents  = 27
	eventInterval = 30 * time.Millisecond
)

func runWorker(id, address, runsPath string) {
	runs, err := os.OpenFile(runsPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w := &worker{id: id, runs: runs}
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(exitNotRun)
		}
		go w.serve(conn)
	}
}

// serve answers the requests of one channel, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, request, body) {
			return
		}
	}
}

// answer works on one request and reports whether the channel stays open.
func (w *worker) answer(conn net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(headerID)
	if expected := r.Header.Get(headerInstance); expected != "" && expected != w.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
		return true
	}
	if r.URL.Path == "/healthz" || r.URL.Path == "/report" {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Currantladder-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
		return true
	}
	w.recordRun(id, r, body)
	whole := answerOf(id)
	head := fmt.Sprintf("%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\n", headerID, id, headerSeal, sealOf(whole))
	switch {
	case strings.Contains(r.RequestURI, "/long/"):
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, whole[:len(whole)/2])
		time.Sleep(longTime)
		_, _ = io.WriteString(conn, whole[len(whole)/2:])
		return false
	case strings.Contains(r.RequestURI, "/stream/"):
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, id, headerSeal, sealOf(id))
		for i := range streamEvents {
			time.Sleep(eventInterval)
			event := eventOf(id, i+1)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	case strings.HasSuffix(w.id, "-grey") && w.ran.Add(1)%5 < 2:
		time.Sleep(workTime)
		failure := "the booking is written, but its confirmation could not be sent\n"
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, sealOf(failure), len(failure), failure)
		return true
	case strings.Contains(r.RequestURI, "/slow/"):
		time.Sleep(slowTime - workTime)
	}
	time.Sleep(workTime)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(whole), whole)
	return true
}

// recordRun writes that the worker began to work on a request.
func (w *worker) recordRun(id string, r *http.Request, body []byte) {
	fmt.Fprintf(w.runs, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", time.Now().UnixMilli(), id, w.id, r.Method, r.RequestURI, r.Host, r.Header.Get(headerTenant), sealOf(string(body)))
}

// answerOf returns the whole answer to a request, about 800 bytes.
func answerOf(id string) string {
	var b strings.Builder
	for i := range 20 {
		fmt.Fprintf(&b, "%s line %02d of 20 of the answer\n", id, i+1)
	}
	return b.String()
}

// eventOf returns the n-th event of the stream that answers a request.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// sealOf returns the receipt of a body.
func sealOf(body string) string {
	sum := sha256.Sum256([]byte(body))
	return strconv.Itoa(len(body)) + "." + hex.EncodeToString(sum[:8])
}

// run is a line of the workers' records.
type run struct {
	at                                             time.Time
	id, worker, method, target, host, tenant, body string
}

// workerHandle is a worker as the case sees it.
type workerHandle struct {
	*process
	id, service, address string
	born                 time.Time
}

// startWorker starts a worker process and registers it as ready.
func (l *lab) startWorker(id, service, zone string) *workerHandle {
	return l.startWorkerAt(l.freeAddresses(1)[0], id, service, zone)
}

// startWorkerAt is startWorker at an address that a former worker may have had.
func (l *lab) startWorkerAt(address, id, service, zone string) *workerHandle {
	h := &workerHandle{id: id, service: service, address: address, born: time.Now()}
	self, err := os.Executable()
	if err != nil {
		l.fail("find the stand-in: %w", err)
	}
	h.process = l.start(id, filepath.Join(l.dir, id+".log"), nil, self, "worker", id, h.address, filepath.Join(l.dir, id+".runs"))
	deadline := time.Now().Add(readyTimeout)
	for {
		conn, err := net.Dial("tcp", h.address)
		if err == nil {
			conn.Close()
			break
		}
		if time.Now().After(deadline) {
			l.fail("worker %s does not listen", id)
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.register(h, zone, "ready")
	return h
}

// register writes the entry of a worker.
func (l *lab) register(h *workerHandle, zone, state string) {
	l.store.Put("servers", h.id, map[string]any{
		"service": h.service, "address": h.address, "zone": zone, "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "seq": 0, "born": h.born.UnixMilli(),
	})
	l.note("the store has accepted that %s is %s", h.id, state)
}

// readRuns returns what the workers began to work on.
func (l *lab) readRuns() []run {
	paths, _ := filepath.Glob(filepath.Join(l.dir, "*.runs"))
	var runs []run
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			l.fail("read the record of a worker: %w", err)
		}
		for line := range strings.Lines(string(content)) {
			f := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
			if len(f) != 8 {
				continue
			}
			ms, _ := strconv.ParseInt(f[0], 10, 64)
			runs = append(runs, run{time.UnixMilli(ms), f[1], f[2], f[3], f[4], f[5], f[6], f[7]})
		}
	}
	return runs
}
