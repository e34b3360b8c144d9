package heldmemory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testLimit   = 16 << 20
	testReserve = 4 << 20
	testChunk   = 64 << 10
)

// receive grows an account by size bytes in chunks, with a pause after each.
func receive(a *Account, size int, pause time.Duration) error {
	for received := 0; received < size; received += testChunk {
		if err := a.Grow(testChunk); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// stallAnswers opens n answers of a host that receive size bytes each and then nothing
// until they end. It returns a function that ends them and returns their errors.
func stallAnswers(t *testing.T, pool *Pool, host string, n, size int) (end func() []error) {
	ctx, cancel := context.WithCancel(context.Background())
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			accountCtx, account := pool.Open(ctx, host)
			defer account.Close()
			if errs[i] = receive(account, size, 0); errs[i] == nil {
				<-accountCtx.Done()
				errs[i] = context.Cause(accountCtx)
			}
		})
	}
	t.Cleanup(cancel)
	return func() []error { cancel(); wait.Wait(); return errs }
}

func countEvicted(errs []error) int {
	n := 0
	for _, err := range errs {
		if errors.Is(err, ErrEvicted) {
			n++
		}
	}
	return n
}

// TestSmallAnswersNeverWait guards against requests that wait because faulty hosts hold
// all memory for answers.
func TestSmallAnswersNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(testLimit, testReserve, AnswerPace)
		for _, host := range []string{"a", "b", "c"} {
			defer stallAnswers(t, pool, host, 20, 3<<20)()
		}
		synctest.Wait()
		for range 100 {
			_, account := pool.Open(context.Background(), "sound")
			started := time.Now()
			if err := account.Grow(FreeBytes); err != nil || time.Since(started) > 0 {
				t.Fatalf("a small answer got error %v after %v, want neither", err, time.Since(started))
			}
			account.Close()
		}
	})
}

// TestWaitingAnswersBecomeWhole guards against answers that wait for each other, each with
// a part of the memory, and against sound ones that give way.
func TestWaitingAnswersBecomeWhole(t *testing.T) {
	for name, hostOf := range map[string]func(i int) string{
		"of one host":   func(int) string { return "a" },
		"of many hosts": func(i int) string { return fmt.Sprint("host-", i) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := NewPool(testLimit, testReserve, AnswerPace)
				var wait sync.WaitGroup
				for i := range 40 {
					wait.Go(func() {
						_, account := pool.Open(context.Background(), hostOf(i))
						defer account.Close()
						if err := receive(account, 4<<20-testChunk, time.Millisecond); err != nil {
							t.Errorf("answer %d: %v, want the whole answer", i, err)
						}
					})
				}
				started := time.Now()
				wait.Wait()
				if took := time.Since(started); took > 5*time.Second {
					t.Errorf("40 answers of 4 MB took %v, want at most 5 s", took)
				}
				if used := pool.Used(); used != 0 {
					t.Errorf("%d bytes are counted after the end, want 0", used)
				}
			})
		})
	}
}

// TestStalledAnswersGiveWay verifies that a large answer of a sound host is received while
// two faulty hosts hold all memory, and that only answers of the faulty ones give way.
func TestStalledAnswersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(testLimit, testReserve, AnswerPace)
		endA, endB := stallAnswers(t, pool, "a", 30, 3<<20), stallAnswers(t, pool, "b", 30, 3<<20)
		time.Sleep(100 * time.Millisecond)
		ctx, account := pool.Open(context.Background(), "sound")
		started := time.Now()
		if err := receive(account, 3<<20, time.Millisecond); err != nil || context.Cause(ctx) != nil {
			t.Errorf("the answer of the sound host ended with %v", err)
		}
		if took := time.Since(started); took > 3*time.Second {
			t.Errorf("the answer of the sound host took %v, want at most 3 s", took)
		}
		account.Close()
		time.Sleep(2 * time.Second) // the faulty hosts' own answers wait as well
		if evicted := countEvicted(endA()) + countEvicted(endB()); evicted == 0 {
			t.Error("no answer of the faulty hosts gave way, want some")
		}
	})
}

// TestStalledAnswersStayWithoutNeed verifies that a slow answer ends only if another one
// needs its memory.
func TestStalledAnswersStayWithoutNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(testLimit, testReserve, AnswerPace)
		end := stallAnswers(t, pool, "a", 2, 3<<20)
		time.Sleep(time.Minute)
		if evicted := countEvicted(end()); evicted != 0 {
			t.Errorf("%d answers gave way with memory left, want none", evicted)
		}
	})
}

// TestLongSmallAnswerIsNotSlow guards against a stream that gives way at its first large
// event, because it has received little for long.
func TestLongSmallAnswerIsNotSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(testLimit, testReserve, AnswerPace)
		ctx, stream := pool.Open(context.Background(), "sound")
		defer stream.Close()
		for range 20 {
			if err := stream.Grow(500); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			stream.Shrink(500)
		}
		if err := stream.Grow(testChunk); err != nil {
			t.Fatal(err)
		}
		defer stallAnswers(t, pool, "sound", 20, 3<<20)()
		time.Sleep(AnswerPace.Timeout - time.Millisecond)
		if err := context.Cause(ctx); err != nil {
			t.Errorf("the stream ended with %v within %v of its large event", err, AnswerPace.Timeout)
		}
	})
}

// TestUseIsBounded verifies for random hosts, sizes, pauses and ends that the counted bytes
// stay within the limit and the reserve, and that nothing is left counted.
func TestUseIsBounded(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			pool := NewPool(testLimit, testReserve, AnswerPace)
			var wait sync.WaitGroup
			for i := range 80 {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				wait.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(8000))*time.Millisecond)
					defer cancel()
					ctx, account := pool.Open(ctx, fmt.Sprint(random.IntN(5)))
					defer account.Close()
					if receive(account, random.IntN(testReserve), time.Duration(random.IntN(50))*time.Millisecond) == nil {
						switch random.IntN(3) {
						case 0:
							account.Complete()
							time.Sleep(time.Second)
						case 1:
							<-ctx.Done()
						}
					}
				})
			}
			for range 200 {
				time.Sleep(50 * time.Millisecond)
				if used := pool.Used(); used > testLimit+testReserve {
					t.Errorf("seed %d: %d bytes are counted, want at most %d", seed, used, testLimit+testReserve)
				}
			}
			wait.Wait()
			if used := pool.Used(); used != 0 || len(pool.charged) != 0 {
				t.Errorf("seed %d: %d bytes of %d accounts are counted after the end, want none", seed, used, len(pool.charged))
			}
		})
	}
}

// TestWaitForMemoryEnds guards against requests that wait for memory until their callers give
// up, without a refusal.
func TestWaitForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(testLimit, testReserve, CallerPace).WithMaxWait(300 * time.Millisecond)
		_, first := pool.Open(context.Background(), "a")
		defer first.Close()
		if err := first.Grow(testLimit); err != nil {
			t.Fatal(err)
		}
		_, second := pool.Open(context.Background(), "a")
		defer second.Close()
		begun := time.Now()
		if err := second.Grow(1 << 20); !errors.Is(err, ErrNoMemory) || time.Since(begun) != 300*time.Millisecond {
			t.Errorf("got %v after %v, want ErrNoMemory after 300ms", err, time.Since(begun))
		}
	})
}

// TestSmallMessageReservesNoMoreThanItsSize guards against an owner whose messages wait for
// each other because its oldest one, which is small, reserves room for the largest.
func TestSmallMessageReservesNoMoreThanItsSize(t *testing.T) {
	pool := NewPool(testLimit, testLimit, CallerPace).WithMaxWait(time.Millisecond)
	for i := range 10 {
		_, account := pool.Open(context.Background(), "a")
		defer account.Close()
		account.Expect(200 << 10)
		if err := account.Grow(100 << 10); err != nil {
			t.Fatalf("message %d: %v, want room", i, err)
		}
	}
}

// TestAnswerThatIsNotTakenGivesWay guards against answers whose memory is held by callers
// that take nothing, and against the end of one that is taken.
func TestAnswerThatIsNotTakenGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(4<<20, 0, CallerPace)
		takenCtx, taken := pool.Open(context.Background(), "a")
		leftCtx, left := pool.Open(context.Background(), "a")
		defer taken.Close()
		go func() {
			<-leftCtx.Done()
			left.Close()
		}()
		for _, account := range []*Account{taken, left} {
			if err := account.Grow(900 << 10); err != nil {
				t.Fatal(err)
			}
		}
		var taking sync.WaitGroup
		defer taking.Wait()
		taking.Go(func() {
			for range 10 {
				time.Sleep(CallerPace.Timeout / 2)
				taken.Progress(int(CallerPace.Bytes))
			}
		})
		time.Sleep(2 * CallerPace.Timeout)
		_, next := pool.Open(context.Background(), "a")
		defer next.Close()
		if err := next.Grow(900 << 10); err != nil {
			t.Errorf("the next answer: %v, want memory", err)
		}
		if context.Cause(leftCtx) == nil || context.Cause(takenCtx) != nil {
			t.Errorf("got %v for the answer that is left and %v for the one that is taken, want the end of the first", context.Cause(leftCtx), context.Cause(takenCtx))
		}
	})
}
