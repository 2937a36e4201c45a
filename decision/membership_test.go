package decision

import (
	"testing"
	"time"
)

// nextCall returns the delay until a dispatcher's next call for the list after a number of failed calls.
func nextCall(t *testing.T, cfg Config, seed uint64, failures int) time.Duration {
	t.Helper()
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &driver{t: t, d: d, now: time.Hour, timers: map[uint32]time.Duration{}}
	h.step()
	for range failures {
		h.advance(20 * time.Second)
		h.step(Event{Type: MembersFailed})
	}
	for _, at := range h.timers {
		return at - h.now
	}
	t.Fatal("no timer for the next call is set")
	return 0
}

// TestSubscribeSpreadAndBackoff checks that calls for the list are spread and that their delay grows with
// failures, as discovery cannot answer all dispatchers at once.
func TestSubscribeSpreadAndBackoff(t *testing.T) {
	delay := func(seed uint64, failures int) time.Duration { return nextCall(t, testConfig(), seed, failures) }
	mean := func(failures int) (sum time.Duration) {
		for seed := range uint64(50) {
			sum += delay(seed, failures) / 50
		}
		return sum
	}
	if delay(1, 0) == delay(2, 0) {
		t.Error("two dispatchers call at the same time, want different delays")
	}
	initial, afterFailures := mean(0), mean(3)
	if afterFailures < 3*initial || afterFailures > testConfig().Rules.MaxRefreshInterval {
		t.Errorf("mean delay %v at first and %v after three failures, want 3 times as much and at most %v",
			initial, afterFailures, testConfig().Rules.MaxRefreshInterval)
	}
}

// TestSubscribeAfterFailures checks that a complete list resets the delay that has grown with failed calls.
func TestSubscribeAfterFailures(t *testing.T) {
	cfg := bucketOnlyConfig()
	cfg.PullMembers, cfg.Rules.MaxRefreshInterval = true, 16*time.Second
	h := newDriver(t, cfg, membersInOneZone(1))
	h.advance(time.Second)
	for range 6 {
		h.step(Event{Type: MembersFailed})
		h.advance(16 * time.Second)
	}
	h.step(Event{Type: MembersReplaced, Members: membersInOneZone(1)})
	for range 8 {
		h.step(Event{Type: MembersReplaced, Members: membersInOneZone(1)})
		h.step(Event{Type: MembersFailed})
		if a := h.advance(2 * time.Second); len(a) != 1 || a[0].Type != Subscribe {
			t.Fatalf("got %v within 2 s of the first failure, want a Subscribe", a)
		}
	}
}

// TestManyDispatchersSpreadSubscribes checks that 80 dispatchers that start, or lose discovery, at the same
// time spread their calls over seconds, but within the refresh interval: discovery answers about ten calls
// a second and fails calls that wait for two seconds.
func TestManyDispatchersSpreadSubscribes(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 80
	for _, failures := range []int{0, 1, 4} {
		perSecond := map[time.Duration]int{}
		for i := range cfg.Instances {
			wait := nextCall(t, cfg, uint64(i), failures)
			perSecond[wait/time.Second]++
			if wait > cfg.Rules.MaxRefreshInterval {
				t.Errorf("after %d failures a call comes after %v, want at most %v", failures, wait, cfg.Rules.MaxRefreshInterval)
			}
		}
		for second, n := range perSecond {
			if n > 40>>min(failures, 1) {
				t.Errorf("after %d failures %d calls come in second %d, want at most %d", failures, n, second, 40>>min(failures, 1))
			}
		}
	}
}
