package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"currantladder": main})
}

// oneNode is a fleet of one node without peers.
type oneNode struct{ follower *configlog.Follower }

func (n *oneNode) Nodes() []operatorapi.Node {
	return []operatorapi.Node{{Name: "utr-1", Status: object.NodeStatus{Region: "nl-centraal", Live: true, AppliedRevision: n.follower.Current().Revision}}}
}

func (n *oneNode) ExplainObject(context.Context, object.Key) ([]peer.Step, error) {
	return []peer.Step{{Time: time.Unix(0, 0), Node: "utr-1", Reason: "Placed", Message: "on 2 hosts"}}, nil
}

func (n *oneNode) ExplainRequest(context.Context, string) ([]peer.Step, error) { return nil, nil }

func (n *oneNode) WriteBurn(_ context.Context, w io.Writer, format operatorapi.BurnFormat) error {
	_, err := fmt.Fprintf(w, "burn as %s\n", format)
	return err
}

func (n *oneNode) Log(context.Context, int64) ([]object.Record, error) {
	return nil, errors.New("no peer")
}

func (n *oneNode) Snapshot(context.Context) (*snapshot.Snapshot, error) {
	return nil, errors.New("no peer")
}

// TestOperatorCommands runs the scripts in testdata against one node's API.
func TestOperatorCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			ctx, cancel := context.WithCancel(context.Background())
			env.Defer(cancel)
			table := platform.New(platform.Options{}).Table
			acceptor := configlog.NewAcceptor(table, eventlog.Discard())
			node := &oneNode{}
			node.follower = configlog.NewFollower(table, node, 50*time.Millisecond, eventlog.Discard())
			go node.follower.Run(ctx)
			const token = "token-of-anna"
			sum := sha256.Sum256([]byte(token))
			handler, err := operatorapi.New(operatorapi.Deps{
				Users: map[string]string{"anna": hex.EncodeToString(sum[:])}, MaxBodyBytes: 1 << 20, Log: acceptor, Config: node.follower,
				Audit: acceptor, Nodes: node, Explain: node, Burn: node, Events: eventlog.Discard(),
			})
			if err != nil {
				return err
			}
			server := httptest.NewServer(handler)
			env.Defer(server.Close)
			env.Setenv(serverVariable, server.URL)
			env.Setenv(tokenVariable, token)
			return nil
		},
	})
}
