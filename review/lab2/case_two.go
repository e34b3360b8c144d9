//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["two"] = func(l *lab) ([]string, error) {
		return playTwo(l, map[string]string{"w2": "2=10s", "w3": "1=5s,2=12s"}, false)
	}
	cases["former"] = func(l *lab) ([]string, error) {
		return playTwo(l, map[string]string{"w2": "2=3500ms", "w3": "1=5s,2=7s"}, os.Getenv("STOP") != "0")
	}
}

// playTwo: four empty workers are added in two domains. In a window of some 4 s three of the
// join orders to two of them get no answer and are carried out later. If stops is true, the node
// that leads gets SIGTERM after that, and starts again when it has ended.
func playTwo(l *lab, late map[string]string, stops bool) ([]string, error) {
	l.writeManifest(1, []any{route("stream", "stream", "models", 8000, 500, 2)}, []any{engineService("models", "m", 2)})
	for _, id := range []string{"w0", "w1"} {
		if _, err := l.startWorker(id, "models", "-domain", "d0", "-load", "1200ms"); err != nil {
			return nil, err
		}
	}
	var nodes []*node
	for i := range 3 {
		n, err := l.startNode(i, l.address)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	if err := l.awaitReady(10*time.Second, nodes...); err != nil {
		return nil, err
	}
	isOpen := func(e workerEntry) bool { return e.Group != nil && e.Group.State == "open" }
	if err := l.awaitServers(20*time.Second, 1, isOpen); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				l.stream(nodes[(c+i)%3], fmt.Sprintf("c%d-%d", c, i), "m", 27, 8*time.Second)
			}
		})
	}
	defer func() { close(done); clients.Wait() }()
	time.Sleep(2 * time.Second)
	for i, id := range []string{"w2", "w3", "w4", "w5"} {
		flags := []string{"-domain", fmt.Sprintf("d%d", 1+i/2), "-load", "12s"}
		if l.trouble && late[id] != "" {
			flags = append(flags, "-late", late[id])
		}
		if _, err := l.startWorker(id, "models", flags...); err != nil {
			return nil, err
		}
	}
	l.record("four empty workers are added")
	if err := l.awaitServers(30*time.Second, 2, isOpen); err != nil {
		return nil, err
	}
	if l.trouble && stops {
		if err := l.stopLeader(nodes); err != nil {
			return nil, err
		}
	}
	time.Sleep(25 * time.Second)
	return l.judgeTwo(), nil
}

// stopLeader stops the node that leads once both workers have left their second join order
// unanswered, and starts it again when it has ended.
func (l *lab) stopLeader(nodes []*node) error {
	unanswered := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(slices.DeleteFunc(slices.Clone(l.orders), func(e orderEvent) bool { return !e.Unanswered }))
	}
	for deadline := time.Now().Add(15 * time.Second); unanswered() < 3; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d orders without an answer, want 3", unanswered())
		}
	}
	name, err := l.leaderName()
	if err != nil {
		return err
	}
	i := slices.IndexFunc(nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return fmt.Errorf("no node is called %q", name)
	}
	l.record("%s, which leads, gets SIGTERM", name)
	stopped := nodes[i]
	stopped.signal(syscall.SIGTERM)
	go func() {
		<-stopped.exited
		time.Sleep(time.Second)
		l.record("%s starts again", name)
		_, _ = l.start(stopped.name, []string{"CURRANTLADDER_BOOT=" + stopped.settings}, program(), "gateway")
	}()
	return nil
}

// judgeTwo returns the joins that a worker has taken while the head of its other group was open
// or closing.
func (l *lab) judgeTwo() (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.orders {
		if e.Op != "join" || e.Unanswered || e.Status != http.StatusAccepted || e.OldGroup == "" || e.OldGroup == e.Group {
			continue
		}
		state := e.OldState
		if e.OldHead != e.Worker {
			state = stateOfHead(l.orders[:i], e)
		}
		if state == "open" || state == "closing" {
			broken = append(broken, fmt.Sprintf("TWO: worker %s took the join of %s while the head %s of its group %s was %s", e.Worker, e.Group, e.OldHead, e.OldGroup, state))
		}
	}
	return broken
}

// stateOfHead returns "open" if the head of the group that the worker was in has carried out the
// order to open it, at least the time of opening before, and no other order since.
func stateOfHead(before []orderEvent, join orderEvent) string {
	state := ""
	for _, e := range before {
		if e.Worker != join.OldHead || e.Unanswered || e.Status != http.StatusAccepted || e.Op == "stage" {
			continue
		}
		state = ""
		if e.Op == "open" && e.Group == join.OldGroup && join.at.Sub(e.at) > 300*time.Millisecond {
			state = "open"
		}
	}
	return state
}
