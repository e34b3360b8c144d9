package feed

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

func newCopy(b Batch) *Follower {
	f := NewFollower(TopicHosts, nil, nil, eventlog.Discard(), func([]Record, bool) {})
	f.table.Apply(b)
	return f
}

// TestPackKeepsEveryValue verifies that a packed batch is decoded to the same one,
// whatever other writers store, and that a truncated or damaged one is refused.
func TestPackKeepsEveryValue(t *testing.T) {
	want := Batch{Version: 9, Era: 2, Gaps: []Gap{{After: 3, Until: 6}}, Records: []Record{
		{Key: "text", Version: 7, Value: []byte("{\"a\": \"<\u2028>\"}")}, {Key: "binary", Version: 8, Value: []byte{0xff, 0, '"'}},
		{Key: "none", Version: 8}, {Key: "gone", Version: 9, Deleted: true}, {Key: "same", Version: 9, Unchanged: true, Checksum: 77},
	}}
	body, err := Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unpack(bytes.NewReader(body))
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("got error %v and a batch that differs (-want +got):\n%s", err, diff)
	}
	for length := range body {
		if _, err := Unpack(bytes.NewReader(body[:length])); err == nil {
			t.Errorf("the first %d of %d bytes were decoded, want an error", length, len(body))
		}
	}
	damaged := bytes.Clone(body)
	damaged[len(damaged)-6] ^= 1 // in the checksum
	if _, err := Unpack(bytes.NewReader(damaged)); err == nil {
		t.Error("a damaged batch was decoded, want an error")
	}
}

// TestReadersShareOneAnswer guards against a past cost: a hub encoded the same changes
// and the same whole table again for each of its members.
func TestReadersShareOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCopy(Batch{Records: []Record{record("a", 1)}, Version: 1, Complete: true})
		f.table.Apply(Batch{Records: []Record{record("a", 2)}, Version: 2})
		read := func() []byte {
			packed, err := f.PackedChanges(context.Background(), position.Position{Version: 1}, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			return packed.Body
		}
		table := func() Packed {
			packed, _, err := f.PackedSnapshot()
			if err != nil {
				t.Fatal(err)
			}
			return packed
		}
		if first, second := read(), read(); &first[0] != &second[0] {
			t.Error("two readers of the same changes got two answers, want one")
		}
		first := table()
		time.Sleep(maxSharedTableAge)
		f.table.Apply(Batch{Records: []Record{record("b", 3)}, Version: 3})
		f.recordAnswer(Batch{})
		if second := table(); &first.Body[0] != &second.Body[0] || second.ConfirmedAgo < maxSharedTableAge {
			t.Errorf("a reader got another table or an age of %v, want the first one and its age, at least %v", second.ConfirmedAgo, maxSharedTableAge)
		}
		time.Sleep(time.Millisecond)
		if second := table(); &first.Body[0] == &second.Body[0] || second.ConfirmedAgo > maxSharedTableAge {
			t.Error("the table was sent again after its time, want a new one")
		}
	})
}

// TestSharedTableReachesReadersInAGap guards against readers that get the same whole
// table again, older than their own copy, after the hub has missed a part of the history.
func TestSharedTableReachesReadersInAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCopy(Batch{Records: []Record{record("a", 1), record("b", 1)}, Version: 1, Complete: true})
		if _, _, err := f.PackedSnapshot(); err != nil {
			t.Fatal(err)
		}
		f.table.Apply(Batch{Records: []Record{record("a", 1)}, Version: 9, Complete: true})
		reader := newCopy(Batch{Records: []Record{record("a", 1), record("b", 1)}, Version: 5, Complete: true})
		batch, err := reader.read(context.Background(), packedSource{f}, 0, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		reader.apply(batch)
		if got := keys(reader.table.Records()); len(got) != 1 || got[0] != "a" {
			t.Errorf("got records %v, want a", got)
		}
	})
}

// TestReaderWithAnotherValueReadsTheWholeTable guards against a wrong value: the sender
// has seen a value at two versions, and the reader holds another one from in between.
func TestReaderWithAnotherValueReadsTheWholeTable(t *testing.T) {
	value := func(version int64, v string) Record { return Record{Key: "a", Version: version, Value: []byte(v)} }
	f := newCopy(Batch{Records: []Record{value(1, "x")}, Version: 1, Complete: true})
	f.table.Apply(Batch{Records: []Record{value(3, "x")}, Version: 3})
	for held, wantRead := range map[string]int{"x": 0, "y": 1} {
		reader := newCopy(Batch{Records: []Record{value(2, held)}, Version: 2, Complete: true})
		source := &countedTables{packedSource: packedSource{f}}
		batch, err := reader.read(context.Background(), source, 0, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		reader.apply(batch)
		if got := reader.table.Records(); len(got) != 1 || string(got[0].Value) != "x" || got[0].Version != 3 || source.tables != wantRead {
			t.Errorf("a reader that held %s has %+v after %d whole tables, want x at version 3 after %d", held, got, source.tables, wantRead)
		}
	}
	if _, err := newCopy(Batch{Complete: true}).table.Complete(Batch{Records: []Record{{Key: "a", Unchanged: true}}}); !errors.Is(err, errValueMissing) {
		t.Errorf("a reader without the record: got error %v, want errValueMissing", err)
	}
}

// countedTables counts the whole tables that are read.
type countedTables struct {
	packedSource
	tables int
}

// Snapshot implements Source.
func (s *countedTables) Snapshot(ctx context.Context, topic Topic) (Batch, error) {
	s.tables++
	return s.packedSource.Snapshot(ctx, topic)
}

// FuzzUnpack verifies that no answer of another node makes a node panic.
func FuzzUnpack(f *testing.F) {
	for _, b := range []Batch{{}, {Version: 1, Records: []Record{record("a", 1), {Key: "b", Version: 2, Unchanged: true}}, Complete: true}} {
		body, err := Pack(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		if b, err := Unpack(bytes.NewReader(body)); err == nil {
			table := NewTable()
			if b, err = table.Complete(b); err == nil {
				table.Apply(b)
			}
		}
	})
}
