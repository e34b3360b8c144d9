package poison

import (
	"fmt"
	"testing"
	"time"
)

// convictedTracker returns a tracker that refuses the part "bad" since the returned
// time.
func convictedTracker(t *testing.T) (*Tracker, time.Time) {
	t.Helper()
	now := time.Unix(1e9, 0)
	tracker := New()
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		tracker.Began(identify([]string{"common", fmt.Sprint("topic", i%20)}, uint64(i)), now, now)
	}
	for i := range 4 {
		now = now.Add(150 * time.Millisecond)
		tracker.Lost(identify([]string{"common", "bad"}, uint64(1000+i)), fmt.Sprint("host", i), now)
		tracker.Began(identify([]string{"common"}, uint64(2000+i)), now.Add(time.Millisecond), now.Add(time.Millisecond))
	}
	if !tracker.Refused(identify([]string{"bad"}, 1)) {
		t.Fatal("the part is not refused after four crashes")
	}
	return tracker, now
}

// TestConvictedPartIsTriedByOneNode verifies that one request tries a convicted part
// after a delay, that a crash makes the delay longer, and that every node accepts the
// part after a trial that went well.
func TestConvictedPartIsTriedByOneNode(t *testing.T) {
	tracker, at := convictedTracker(t)
	request := identify([]string{"common", "bad"}, 1)
	check := func(after time.Duration, mayTry bool, want Decision) {
		t.Helper()
		if got := tracker.Check(request, mayTry, at.Add(after)); got != want {
			t.Errorf("%v after the verdict, may try %t: got %+v, want %+v", after, mayTry, got, want)
		}
	}
	refuse := Decision{Refuse: true, Trait: PartTrait("s", "bad")}
	check(firstTrialDelay-time.Second, true, refuse)
	check(firstTrialDelay+time.Second, false, refuse)
	check(firstTrialDelay+time.Second, true, Decision{Trial: true})
	check(firstTrialDelay+2*time.Second, true, refuse) // a trial is under way
	crashedAt := at.Add(firstTrialDelay + 3*time.Second)
	if findings := tracker.Lost(request, "host9", crashedAt); len(findings) != 1 || findings[0].FailedTrials != 1 {
		t.Errorf("crash of the trial: got %+v, want one failed trial", findings)
	}
	at = crashedAt
	check(trialBackoff*firstTrialDelay-time.Second, true, refuse)
	check(trialBackoff*firstTrialDelay+time.Second, true, Decision{Trial: true})
	other := New()
	later := at.Add(trialBackoff*firstTrialDelay + 2*time.Second)
	other.Merge(tracker.Digest(later), later)
	if !other.Refused(request) {
		t.Error("another node accepts the part during the trial, want it refused")
	}
	if findings := tracker.Began(request, later, later); len(findings) != 1 || findings[0].Refused {
		t.Errorf("trial that went well: got %+v, want the part accepted", findings)
	}
	if findings, _ := other.Merge(tracker.Digest(later), later); len(findings) != 1 || findings[0].Refused || other.Refused(request) {
		t.Errorf("another node got %+v, want it to accept the part", findings)
	}
}

// TestWrongVerdictEndsWithGoodRequest verifies that a request that was under way when
// its part was convicted overturns the verdict, and that an old digest does not renew
// it.
func TestWrongVerdictEndsWithGoodRequest(t *testing.T) {
	tracker, at := convictedTracker(t)
	old := tracker.Digest(at)
	if findings := tracker.Began(identify([]string{"bad"}, 1), at, at.Add(time.Millisecond)); len(findings) != 1 || findings[0].Refused {
		t.Errorf("got %+v, want the verdict overturned", findings)
	}
	tracker.Merge(old, at.Add(2*time.Millisecond))
	if tracker.Refused(identify([]string{"bad"}, 1)) {
		t.Error("an older verdict is in force again")
	}
}

// TestKnowledgeIsBounded verifies that callers who send ever new parts cannot fill the
// memory of a node.
func TestKnowledgeIsBounded(t *testing.T) {
	tracker, now := convictedTracker(t)
	for i := range 3 * maxFrequentParts {
		r := identify([]string{fmt.Sprint("flood", i)}, uint64(i))
		tracker.Began(r, now, now)
		if i%10 == 0 {
			tracker.Lost(r, fmt.Sprint("flooded", i), now)
		}
		if i < 5*maxVerdicts {
			tracker.Merge(&Digest{Verdicts: []VerdictReport{{Trait: Trait(i), Version: 1, Refused: true, AgeMillis: int64(1000 + i)}}}, now)
		}
		now = now.Add(time.Millisecond)
	}
	if n := len(tracker.losses); n > maxLosses {
		t.Errorf("%d crashes are kept, want at most %d", n, maxLosses)
	}
	if n := len(tracker.verdicts); n > maxVerdicts+1 {
		t.Errorf("%d verdicts are kept, want at most %d", n, maxVerdicts)
	}
	if parts, whole := tracker.frequency.parts.Len(), tracker.frequency.requests.Len(); parts > maxFrequentParts || whole > maxFrequentRequests {
		t.Errorf("the frequency of %d parts and %d requests is known, want at most %d and %d", parts, whole, maxFrequentParts, maxFrequentRequests)
	}
	if !tracker.Refused(identify([]string{"bad"}, 1)) {
		t.Error("the flood has displaced the verdict that crashes support")
	}
}

// TestRepeatedRequestsDoNotHideTheirPart verifies that a part is convicted although the
// requests with it were refused first because each came again.
func TestRepeatedRequestsDoNotHideTheirPart(t *testing.T) {
	tracker, now := New(), time.Unix(1e9, 0)
	answer := func() {
		for i := range 20 {
			now = now.Add(20 * time.Millisecond)
			tracker.Began(identify([]string{"common", fmt.Sprint("topic", i)}, uint64(i)), now, now)
		}
	}
	answer()
	for i := range 12 {
		now = now.Add(150 * time.Millisecond)
		tracker.Lost(identify([]string{"common", "bad"}, uint64(1000+i/4)), fmt.Sprint("host", i), now)
		answer()
	}
	tracker.Reconsider(now)
	if !tracker.Refused(identify([]string{"bad"}, 1)) {
		t.Error("the part of three requests that crashed twelve hosts is accepted, want it refused")
	}
	if tracker.Refused(identify([]string{"common"}, 1)) {
		t.Error("the part that other requests share is refused, want it accepted")
	}
}

// TestRequestsBesideTheCrashingOneStayAccepted verifies that a request which was at the
// same crashes as the crashing one is told from it by the next crash.
func TestRequestsBesideTheCrashingOneStayAccepted(t *testing.T) {
	tracker, now := New(), time.Unix(1e9, 0)
	crashing, neighbour := identify(nil, 1), identify(nil, 2)
	for i := range 4 {
		now = now.Add(time.Second)
		host := fmt.Sprint("host", i)
		tracker.Lost(crashing, host, now)
		if i < 3 {
			tracker.Lost(neighbour, host, now.Add(time.Millisecond))
		}
	}
	if !tracker.Refused(crashing) || tracker.Refused(neighbour) {
		t.Errorf("refused: the crashing request %t, its neighbour %t; want only the first", tracker.Refused(crashing), tracker.Refused(neighbour))
	}
}

// TestRequestAnsweredBetweenCrashesStaysAccepted verifies that a popular request which
// was at many crashed hosts is not refused if it is answered now and then.
func TestRequestAnsweredBetweenCrashesStaysAccepted(t *testing.T) {
	tracker, now := New(), time.Unix(1e9, 0)
	popular := identify(nil, 1)
	for i := range 20 {
		now = now.Add(time.Second)
		tracker.Lost(popular, fmt.Sprint("host", i), now)
		if i%2 == 1 {
			tracker.Began(popular, now.Add(time.Millisecond), now.Add(time.Millisecond))
		}
	}
	if tracker.Refused(popular) {
		t.Error("a popular request that is answered between crashes is refused, want it accepted")
	}
}

// TestRequestsThatDifferInTheirPromptAreNoRepeat guards against a verdict on all requests
// with one target and body because some of their prompts crash hosts.
func TestRequestsThatDifferInTheirPromptAreNoRepeat(t *testing.T) {
	tracker, now := New(), time.Unix(1e9, 0)
	for i := range 4 {
		now = now.Add(time.Second)
		host := fmt.Sprint("host", i)
		tracker.Lost(identify([]string{"common", fmt.Sprint("topic", i%2)}, 1), host, now)
	}
	if tracker.Refused(identify([]string{"common", "topic9"}, 1)) || tracker.Suspected(identify([]string{"common", "topic9"}, 1), now) {
		t.Error("a request with another prompt is refused or suspected, want it accepted")
	}
}

// TestRepeatedRequestIsRefusedWithoutAnswersToCompare guards against a request that
// crashes every host of a service which therefore answers nothing.
func TestRepeatedRequestIsRefusedWithoutAnswersToCompare(t *testing.T) {
	tracker, now := New(), time.Unix(1e9, 0)
	request := identify(nil, 1)
	for i := range 3 {
		now = now.Add(time.Second)
		tracker.Lost(identify(nil, uint64(100+i)), fmt.Sprint("host", i), now)
		tracker.Lost(request, fmt.Sprint("host", i), now)
	}
	if !tracker.Check(request, false, now).Refuse {
		t.Error("the request that was at three crashed hosts is accepted, want it refused")
	}
	if tracker.Check(identify(nil, 101), false, now).Refuse {
		t.Error("a request that was at one crashed host is refused, want it accepted")
	}
}
