package rules

import (
	"strings"
	"testing"
	"time"
)

// TestViolations guards against a Checker that misses a violation of a rule, or that reports one
// where the rules are kept.
func TestViolations(t *testing.T) {
	cfg := Config{Classes: map[string]Class{"safe": {}, "keyed": {Effect: Keyed, Window: 40 * time.Second}, "once": {Effect: Unsafe}},
		Slack: 50 * time.Millisecond, Grace: 500 * time.Millisecond, Multiple: 2.5, Window: time.Second}
	at := time.Unix(1000, 0)
	later := func(d time.Duration) time.Time { return at.Add(d) }
	for _, tc := range []struct {
		name string
		do   func(*Checker)
		want string // part of the only violation, empty for none
	}{
		{"no violation", func(c *Checker) { c.Ran("j", "", "a", at); c.Answered("j", Served, later(time.Second)) }, ""},
		{"no answer", func(c *Checker) {}, "has no answer"},
		{"two answers", func(c *Checker) { c.Answered("j", Served, at); c.Answered("j", Failed, at) }, "has 2 answers"},
		{"late answer", func(c *Checker) { c.Answered("j", Failed, later(10*time.Second+time.Minute)) }, "after its deadline"},
		{"lost answer", func(c *Checker) { c.Answered("j", Lost, at) }, "is lost"},
		{"answer to an unknown job", func(c *Checker) { c.Answered("j", Served, at); c.Answered("x", Served, at) }, "never sent"},
		{"safe job run twice", func(c *Checker) { c.Ran("j", "", "a", at); c.Ran("j", "", "b", at); c.Answered("j", Served, at) }, ""},
		{"unsafe job run twice", func(c *Checker) {
			c.Submitted("o", "once", later(10*time.Second))
			c.Ran("o", "", "a", at)
			c.Ran("o", "", "a", at)
			c.Answered("o", Failed, at)
			c.Answered("j", Served, at)
		}, "has run twice"},
		{"unsafe job run and refused", func(c *Checker) {
			c.Submitted("o", "once", later(10*time.Second))
			c.Ran("o", "", "a", at)
			c.Answered("o", Refused, at)
			c.Answered("j", Served, at)
		}, "was refused"},
		{"key repeated in one group", func(c *Checker) { runKeyedTwice(c, at, "a", at, "a") }, ""},
		{"key repeated in two groups", func(c *Checker) { runKeyedTwice(c, at, "a", at, "b") }, "in groups a and b"},
		{"key repeated after its window", func(c *Checker) { runKeyedTwice(c, at, "a", later(41*time.Second), "a") }, "again after 41s"},
		{"work within the grace period", func(c *Checker) {
			c.Drains("r", at)
			c.Sent("r", 0, later(400*time.Millisecond))
			c.Answered("j", Served, at)
		}, ""},
		{"work after the grace period", func(c *Checker) {
			c.Drains("r", at)
			c.Sent("r", 0, later(600*time.Millisecond))
			c.Answered("j", Served, at)
		}, "after it drained"},
		{"work after the drain ended", func(c *Checker) {
			c.Drains("r", at)
			c.Back("r")
			c.Sent("r", 0, later(time.Second))
			c.Answered("j", Served, at)
		}, ""},
		{"work within the warm-up limit", func(c *Checker) {
			c.Cold("r", at, 23*time.Second, 0.13, 4)
			c.Sent("r", 1200*time.Millisecond, at)
			c.Answered("j", Served, at)
		}, ""},
		{"work above the warm-up limit", func(c *Checker) {
			c.Cold("r", at, 23*time.Second, 0.13, 4)
			c.Sent("r", 800*time.Millisecond, at)
			c.Sent("r", 800*time.Millisecond, later(500*time.Millisecond))
			c.Answered("j", Served, at)
		}, "its limit is"},
		{"work after the warm-up", func(c *Checker) {
			c.Cold("r", at, 23*time.Second, 0.13, 4)
			c.Sent("r", 14*time.Second, later(24*time.Second))
			c.Answered("j", Served, at)
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(cfg)
			c.Submitted("j", "safe", later(10*time.Second))
			tc.do(c)
			r := c.Report(later(time.Hour))
			switch {
			case tc.want == "" && len(r.Broken) > 0:
				t.Errorf("got violations %q, want none", r.Broken)
			case tc.want != "" && (len(r.Broken) != 1 || !strings.Contains(r.Broken[0], tc.want)):
				t.Errorf("got violations %q, want one with %q", r.Broken, tc.want)
			}
		})
	}
}

// runKeyedTwice runs a job with a key twice, at the given times and in the given groups.
func runKeyedTwice(c *Checker, first time.Time, group string, second time.Time, other string) {
	c.Submitted("k", "keyed", first.Add(time.Hour))
	c.Ran("k", "key", group, first)
	c.Ran("k", "key", other, second)
	c.Answered("k", Served, first)
	c.Answered("j", Served, first)
}
