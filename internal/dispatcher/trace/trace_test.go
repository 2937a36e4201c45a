package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

const validParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// TestParseParent has the header read as its specification says, and written as it was read.
func TestParseParent(t *testing.T) {
	for _, tc := range []struct {
		name, parent, state string
		ok, sampled         bool
		keeps               string
	}{
		{"as it should be", validParent, "a=1,b=2", true, true, "a=1,b=2"},
		{"not sampled", validParent[:53] + "00", "", true, false, ""},
		{"other flags", validParent[:53] + "fe", "", true, false, ""},
		{"a later version says more", "cc" + validParent[2:] + "-what-else", "", true, true, ""},
		{"a later version says more, badly", "cc" + validParent[2:] + "what", "", false, false, ""},
		{"this version says no more", validParent + "-00", "", false, false, ""},
		{"forbidden version", "ff" + validParent[2:], "", false, false, ""},
		{"upper case", strings.ToUpper(validParent), "", false, false, ""},
		{"no trace", "00-" + strings.Repeat("0", 32) + validParent[35:], "", false, false, ""},
		{"no span", validParent[:36] + strings.Repeat("0", 16) + validParent[52:], "", false, false, ""},
		{"short", validParent[:54], "", false, false, ""},
		{"empty", "", "a=1", false, false, ""},
		{"other signs", strings.Replace(validParent, "4", "g", 1), "", false, false, ""},
		{"a state without end", validParent, strings.Repeat("x", 513), true, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, ok := ParseParent(tc.parent, tc.state)
			if ok != tc.ok || c.Sampled != tc.sampled || c.State != tc.keeps {
				t.Errorf("got %+v, %t", c, ok)
			}
			if again, _ := ParseParent(c.Parent(), c.State); ok && again != c {
				t.Errorf("%+v written and read is %+v", c, again)
			}
		})
	}
}

// FuzzParseParent has a header that names no trace give no context, and any other be written as it was read.
func FuzzParseParent(f *testing.F) {
	f.Add(validParent, "a=1")
	f.Add("cc"+validParent[2:]+"-", "")
	f.Fuzz(func(t *testing.T, parent, state string) {
		c, ok := ParseParent(parent, state)
		if !ok && c != (Context{}) {
			t.Errorf("%q is no parent but gives %+v", parent, c)
		}
		if again, same := ParseParent(c.Parent(), c.State); ok && (!same || again != c) {
			t.Errorf("%q: %+v written and read is %+v", parent, c, again)
		}
	})
}

// TestHedges has an attempt that starts while another has not ended recorded as its hedge, and one that starts after all
// have ended as a retry.
func TestHedges(t *testing.T) {
	var s Record
	s.StartAttempt(Attempt{Backend: "a"})
	s.StartAttempt(Attempt{Backend: "b"})
	s.Attempts[0].Ended = 1
	s.StartAttempt(Attempt{Backend: "c"})
	s.Attempts[1].Ended, s.Attempts[2].Ended = 2, 2
	s.StartAttempt(Attempt{Backend: "d"})
	var got []any
	for _, h := range s.Attempts {
		got = append(got, h.Kind, h.HedgeOf)
	}
	if diff := cmp.Diff([]any{First, 0, Hedge, 0, Hedge, 1, Retry, 0}, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
	if s.Result = Served; NotableReason(&s) != KeptHedged {
		t.Error("a hedged request is not kept as one")
	}
}

// TestKeep has notable records kept always, and plain ones by the ratio or the client's flag.
func TestKeep(t *testing.T) {
	half, _ := ParseParent(validParent, "")
	for _, tc := range []struct {
		name    string
		sampler Sampler
		record  Record
		keep    bool
	}{
		{"plain, all", Sampler{Ratio: 1}, Record{Result: Served}, true},
		{"plain, none", Sampler{}, Record{Result: Served}, false},
		{"refused, none", Sampler{}, Record{Result: Refused}, true},
		{"refused, off", Sampler{Off: true, Ratio: 1}, Record{Result: Refused}, false},
		{"overdue", Sampler{}, Record{Result: Served, Overdue: true}, true},
		{"retried", Sampler{}, Record{Result: Served, Attempts: make([]Attempt, 2)}, true},
		{"retry of a client", Sampler{}, Record{Result: Served, ClientRetry: true}, true},
		{"client samples", Sampler{Parent: true}, Record{Result: Served, Parent: half.Span, ParentSampled: true}, true},
		{"client does not", Sampler{Ratio: 1, Parent: true}, Record{Result: Served, Parent: half.Span}, false},
		{"client does not, but it failed", Sampler{Ratio: 1, Parent: true}, Record{Result: Failed, Parent: half.Span}, true},
		{"client is not asked", Sampler{Ratio: 1}, Record{Result: Served, Parent: half.Span}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.record.Selected = tc.sampler.Select(&tc.record)
			if keep, _ := tc.sampler.Keep(&tc.record); keep != tc.keep {
				t.Errorf("kept: %t", keep)
			}
		})
	}
	n := 0
	for range 20000 {
		s := Record{Trace: NewID()}
		if (Sampler{Ratio: 0.1}).Select(&s) {
			n++
		}
	}
	if n < 1700 || n > 2300 {
		t.Errorf("a tenth of 20000 is %d", n)
	}
}

// TestQueue has the queue keep to its bound, drop no notable record while it holds a plain one, and drop the oldest
// first.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(600, 20000).Draw(t, "most")
		q := NewQueue(limit)
		queued := map[bool][]*Record{}
		for i := range rapid.IntRange(1, 200).Draw(t, "puts") {
			s := &Record{Result: Served, Request: strings.Repeat("x", rapid.IntRange(0, 128).Draw(t, "id")), Received: time.Duration(i)}
			notable := rapid.Bool().Draw(t, "notable")
			if notable {
				s.Result = Refused
			}
			queued[notable] = append(queued[notable], s)
			plain, lost := q.Put(s)
			if lost > 0 && len(queued[false]) > plain {
				t.Fatalf("%d notable records were dropped while %d plain ones stayed", lost, len(queued[false])-plain)
			}
			queued[false], queued[true] = queued[false][plain:], queued[true][lost:]
			if rapid.IntRange(0, 9).Draw(t, "take") == 0 {
				for _, s := range q.Take(rapid.IntRange(1, 5).Draw(t, "n")) {
					kind := s.Result != Served
					if len(queued[kind]) == 0 || queued[kind][0] != s {
						t.Fatalf("record %d is taken out of order", s.Received)
					}
					queued[kind] = queued[kind][1:]
				}
			}
			bytes := 0
			for _, of := range queued {
				for _, s := range of {
					bytes += s.Size()
				}
			}
			if q.Bytes() != bytes || bytes > limit || q.Len() != len(queued[false])+len(queued[true]) {
				t.Fatalf("the queue holds %d records of %d bytes, the model %d", q.Len(), q.Bytes(), bytes)
			}
		}
	})
}

// TestJunk has malformed requests displace no notable record.
func TestJunk(t *testing.T) {
	q := NewQueue(3000)
	q.Put(&Record{Result: Failed, Request: "asked for"})
	for range 100 {
		q.Put(&Record{Result: Invalid, AnsweredBy: ByIngress})
	}
	if first := q.Take(1)[0]; first.Request != "asked for" {
		t.Errorf("first comes %+v", first)
	}
}

// TestRetryTable has the table keep to its bound, and no retry linked to a later request, to one that is too old, or to
// one of another key.
func TestRetryTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "most")
		table := NewRetryTable(limit)
		var all []*Record
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			s := &Record{Trace: NewID(), Span: NewSpanID(), RetryKey: rapid.Uint64Range(0, 6).Draw(t, "try"),
				ClientRetry: rapid.Bool().Draw(t, "repeat"), Received: time.Duration(rapid.IntRange(0, 100).Draw(t, "came")), RetryWindow: 20}
			table.Link(s)
			all = append(all, s)
			if table.Len() > limit {
				t.Fatalf("the table holds %d keys, at most %d are allowed", table.Len(), limit)
			}
			for _, l := range s.Links {
				i := 0
				for all[i].Span != l.Span {
					i++
				}
				if b := all[i]; s.RetryKey == 0 || !s.ClientRetry || b.RetryKey != s.RetryKey || b.Received >= s.Received || s.Received > b.Received+b.RetryWindow {
					t.Fatalf("%+v is linked to %+v", s, b)
				}
			}
		}
	})
}
