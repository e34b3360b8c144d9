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

// singleNodeFleet is a fake fleet of one node without peers.
type singleNodeFleet struct{ follower *configlog.Follower }

func (f *singleNodeFleet) Nodes() []operatorapi.Node {
	return []operatorapi.Node{{Name: "utr-1", Status: object.NodeStatus{Region: "nl-centraal", Live: true, AppliedRevision: f.follower.Current().Revision}}}
}

func (f *singleNodeFleet) ExplainObject(context.Context, object.Key) ([]peer.Step, error) {
	return []peer.Step{{Time: time.Unix(0, 0), Node: "utr-1", Reason: "Placed", Message: "on 2 hosts"}}, nil
}

func (f *singleNodeFleet) ExplainRequest(context.Context, string) ([]peer.Step, error) {
	return nil, nil
}

func (f *singleNodeFleet) WriteBurn(_ context.Context, w io.Writer, format operatorapi.BurnFormat) error {
	_, err := fmt.Fprintf(w, "burn as %s\n", format)
	return err
}

func (f *singleNodeFleet) Log(context.Context, int64) ([]object.Record, error) {
	return nil, errors.New("no peer")
}

func (f *singleNodeFleet) Snapshot(context.Context) (*snapshot.Snapshot, error) {
	return nil, errors.New("no peer")
}

// TestOperatorCommands runs the scripts of testdata/script against the operator
// API of one node.
func TestOperatorCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			ctx, cancel := context.WithCancel(context.Background())
			env.Defer(cancel)
			table := platform.New(platform.Options{}).Table
			acceptor := configlog.NewAcceptor(table, eventlog.Discard())
			fleet := &singleNodeFleet{}
			fleet.follower = configlog.NewFollower(table, fleet, 50*time.Millisecond, eventlog.Discard())
			go fleet.follower.Run(ctx)
			const token = "token-of-anna"
			sum := sha256.Sum256([]byte(token))
			handler, err := operatorapi.New(operatorapi.Deps{
				Users: map[string]string{"anna": hex.EncodeToString(sum[:])}, MaxBodyBytes: 1 << 20, Log: acceptor, Config: fleet.follower,
				Audit: acceptor, Nodes: fleet, Explain: fleet, Burn: fleet, Events: eventlog.Discard(),
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
