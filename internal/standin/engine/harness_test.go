package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/memnet"
)

// Group and model of the tests.
const (
	testGroup = "g"
	testModel = "m"
)

// fleet runs engines on an in-memory network.
type fleet struct {
	t       *testing.T
	network memnet.Network
	client  *http.Client
	engines map[string]*Engine
	servers []*http.Server
}

// withFleet runs body in virtual time with one engine at each address.
func withFleet(t *testing.T, options Options, addresses []string, body func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, engines: map[string]*Engine{}}
		f.client = f.network.Client()
		for _, address := range addresses {
			o := options
			o.Host, o.Address, o.HTTPClient = address, address, f.client
			f.engines[address] = New(o)
			f.servers = append(f.servers, f.network.Serve(address, f.engines[address].Handler()))
		}
		defer f.close()
		body(f)
	})
}

func (f *fleet) close() {
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.client.CloseIdleConnections()
}

// post sends a JSON body. The caller closes the response body.
func (f *fleet) post(address, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
}

// sendOrder sends an order and returns the status code of the response.
func (f *fleet) sendOrder(address string, o endpoint.Order) int {
	f.t.Helper()
	response, err := f.post(address, "/v1/orders", o)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// formGroup loads a group whose first member is the leader, and waits long
// enough for it to become ready.
func (f *fleet) formGroup(generation int64, members ...string) {
	f.t.Helper()
	for _, address := range members {
		f.sendOrder(address, loadOrder(1, generation, members...))
	}
	time.Sleep(2 * time.Second)
}

func loadOrder(epoch, generation int64, members ...string) endpoint.Order {
	return endpoint.Order{Epoch: epoch, Action: endpoint.ActionLoad, Group: testGroup, Generation: generation, Model: testModel, ModelVersion: "1", Members: members}
}

func request(id, prompt string, maxTokens int) endpoint.GenerateRequest {
	return endpoint.GenerateRequest{RequestID: id, Model: testModel, Group: testGroup, Generation: 1, Prompt: prompt, MaxTokens: maxTokens}
}

// answer is what a caller received for one generate request.
type answer struct {
	status   int
	chunks   []endpoint.Chunk
	err      error // io.EOF if the stream ended normally
	duration time.Duration
}

// text returns the text of the answer.
func (a answer) text() string {
	var b strings.Builder
	for _, c := range a.chunks {
		b.WriteString(c.Text)
	}
	return b.String()
}

// complete reports whether the answer ended with its terminal event.
func (a answer) complete() bool {
	return a.err == io.EOF && len(a.chunks) > 0 && a.chunks[len(a.chunks)-1].Finish != ""
}

// generate sends a request and reads the stream to its end.
func (f *fleet) generate(address string, r endpoint.GenerateRequest) answer {
	start := time.Now()
	response, err := f.post(address, "/v1/generate", r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode}
	if a.status != http.StatusOK {
		a.err = errors.New("request refused")
		return a
	}
	stream := endpoint.NewStream(response.Body)
	for a.err == nil {
		var chunk endpoint.Chunk
		if chunk, a.err = stream.Next(); a.err == nil {
			a.chunks = append(a.chunks, chunk)
		}
	}
	a.duration = time.Since(start)
	return a
}

// generateAsync runs a request in a goroutine.
func (f *fleet) generateAsync(address string, r endpoint.GenerateRequest) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- f.generate(address, r) }()
	return done
}

// expectedText returns the tokens of an answer from index from up to, but not
// including, index to.
func expectedText(prompt string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(Token(testModel, prompt, i))
	}
	return b.String()
}

// cancel cancels a stream with DELETE.
func (f *fleet) cancel(address, id string) {
	f.t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, "http://"+address+"/v1/generate/"+id, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := f.client.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
}
