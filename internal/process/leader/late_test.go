package leader

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// lateClient is a client whose answers can be overtaken: afterPut and afterGet are called
// once each, between the call in the store and its answer.
type lateClient struct {
	client
	afterPut, afterGet func()
}

func (c *lateClient) Get(ctx context.Context, key string) (table.Row, error) {
	got, err := c.client.Get(ctx, key)
	if after := c.afterGet; after != nil && err == nil {
		c.afterGet = nil
		after()
	}
	return got, err
}

func (c *lateClient) Put(ctx context.Context, key string, expect position.Position, value json.RawMessage) (position.Position, error) {
	written, err := c.client.Put(ctx, key, expect, value)
	if after := c.afterPut; after != nil && err == nil {
		c.afterPut = nil
		after()
	}
	return written, err
}

func eligible() Eligibility {
	return Eligibility{MayLead: func() bool { return true }, Deference: func() time.Duration { return 0 }, HighestTerm: func() int64 { return 0 }}
}

// TestLateAnswerAfterNoticeOfLaterRowIsNoLease guards against two leaders: the late answer
// to a write moved a node back behind the row of another leader, whose notice it had.
func TestLateAnswerAfterNoticeOfLaterRowIsNoLease(t *testing.T) {
	for name, prepare := range map[string]func(connection *lateClient, first *Candidate, overtake func()) error{
		"answer to a write": func(connection *lateClient, _ *Candidate, overtake func()) error {
			connection.afterPut = overtake
			return nil
		},
		"answer to a read after a lost answer": func(connection *lateClient, first *Candidate, overtake func()) error {
			if _, err := first.step(context.Background(), eligible()); err != nil {
				return err
			}
			connection.lostReplies = 1
			if _, err := first.step(context.Background(), eligible()); err == nil {
				return errors.New("got no error from a renewal whose answer was lost")
			}
			connection.afterGet = overtake
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			rows := newFakeRows()
			clock := func() time.Duration { return 10 * time.Second }
			connection := &lateClient{client: client{rows, "a"}}
			first := New(connection, "a", clock, eventlog.Discard())
			second := New(client{rows, "b"}, "b", clock, eventlog.Discard())
			err := prepare(connection, first, func() {
				rows.overwrite(`{"holder":"","term":4}`) // another writer releases the lease
				if _, err := second.step(context.Background(), eligible()); err != nil {
					t.Fatal(err)
				}
				first.ObserveLease(*second.Notice())
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, step := range []string{"the late answer", "the next renewal"} {
				if _, err := first.step(context.Background(), eligible()); err != nil {
					t.Fatal(err)
				}
				if _, leads := second.Leads(); !leads {
					t.Errorf("the second node does not lead after %s, want it to", step)
				}
				if term, leads := first.Leads(); leads {
					t.Errorf("the first node leads with term %d beside the second one after %s", term, step)
				}
			}
		})
	}
}
