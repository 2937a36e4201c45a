package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

const good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func TestParseParent(t *testing.T) {
	for _, tc := range []struct {
		name, parent, state string
		ok, sampled         bool
		keeps               string
	}{
		{"as it should be", good, "a=1,b=2", true, true, "a=1,b=2"},
		{"not sampled", good[:53] + "00", "", true, false, ""},
		{"other flags", good[:53] + "fe", "", true, false, ""},
		{"a later version says more", "cc" + good[2:] + "-what-else", "", true, true, ""},
		{"a later version says more, badly", "cc" + good[2:] + "what", "", false, false, ""},
		{"this version says no more", good + "-00", "", false, false, ""},
		{"forbidden version", "ff" + good[2:], "", false, false, ""},
		{"upper case", strings.ToUpper(good), "", false, false, ""},
		{"no trace", "00-" + strings.Repeat("0", 32) + good[35:], "", false, false, ""},
		{"no span", good[:36] + strings.Repeat("0", 16) + good[52:], "", false, false, ""},
		{"short", good[:54], "", false, false, ""},
		{"empty", "", "a=1", false, false, ""},
		{"other signs", strings.Replace(good, "4", "g", 1), "", false, false, ""},
		{"a state without end", good, strings.Repeat("x", 513), true, true, ""},
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

func FuzzParseParent(f *testing.F) {
	f.Add(good, "a=1")
	f.Add("cc"+good[2:]+"-", "")
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

// TestCopies guards the reader: a hedged copy is a sibling that names whom it copies,
// and what comes after all have ended is a repeat.
func TestCopies(t *testing.T) {
	var s Story
	s.Next(Hop{Target: "a"})
	s.Next(Hop{Target: "b"})
	s.Hops[0].Ended = 1
	s.Next(Hop{Target: "c"})
	s.Hops[1].Ended, s.Hops[2].Ended = 2, 2
	s.Next(Hop{Target: "d"})
	var got []any
	for _, h := range s.Hops {
		got = append(got, h.Kind, h.Of)
	}
	if diff := cmp.Diff([]any{First, 0, Copy, 0, Copy, 1, Retry, 0}, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
	if s.Answer = Served; Notable(&s) != KeptCopied {
		t.Error("a request with copies is not kept as one")
	}
}

func TestKeep(t *testing.T) {
	half, _ := ParseParent(good, "")
	for _, tc := range []struct {
		name    string
		sampler Sampler
		story   Story
		keep    bool
	}{
		{"plain, all", Sampler{Plain: 1}, Story{Answer: Served}, true},
		{"plain, none", Sampler{}, Story{Answer: Served}, false},
		{"refused, none", Sampler{}, Story{Answer: Refused}, true},
		{"refused, off", Sampler{Off: true, Plain: 1}, Story{Answer: Refused}, false},
		{"late", Sampler{}, Story{Answer: Served, Late: true}, true},
		{"tried again", Sampler{}, Story{Answer: Served, Hops: make([]Hop, 2)}, true},
		{"a repeat", Sampler{}, Story{Answer: Served, Repeat: true}, true},
		{"the client records", Sampler{Parent: true}, Story{Answer: Served, Parent: half.Span, Sampled: true}, true},
		{"the client does not", Sampler{Plain: 1, Parent: true}, Story{Answer: Served, Parent: half.Span}, false},
		{"the client does not, but it failed", Sampler{Plain: 1, Parent: true}, Story{Answer: Failed, Parent: half.Span}, true},
		{"the client does not count", Sampler{Plain: 1}, Story{Answer: Served, Parent: half.Span}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.story.Picked = tc.sampler.Pick(&tc.story)
			if keep, _ := tc.sampler.Keep(&tc.story); keep != tc.keep {
				t.Errorf("kept: %t", keep)
			}
		})
	}
	n := 0
	for range 20000 {
		s := Story{Trace: NewID()}
		if (Sampler{Plain: 0.1}).Pick(&s) {
			n++
		}
	}
	if n < 1700 || n > 2300 {
		t.Errorf("of 20000 a tenth is %d", n)
	}
}

// TestQueue guards the bound, and what matters: nothing notable goes while there is
// anything plain, and whatever went was older than what stayed.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(600, 20000).Draw(t, "most")
		q := NewQueue(most)
		held := map[bool][]*Story{}
		for i := range rapid.IntRange(1, 200).Draw(t, "puts") {
			s := &Story{Answer: Served, Request: strings.Repeat("x", rapid.IntRange(0, 128).Draw(t, "id")), Came: time.Duration(i)}
			notable := rapid.Bool().Draw(t, "notable")
			if notable {
				s.Answer = Refused
			}
			held[notable] = append(held[notable], s)
			plain, lost := q.Put(s)
			if lost > 0 && len(held[false]) > plain {
				t.Fatalf("%d notable ones went while %d plain ones stayed", lost, len(held[false])-plain)
			}
			held[false], held[true] = held[false][plain:], held[true][lost:]
			if rapid.IntRange(0, 9).Draw(t, "take") == 0 {
				for _, s := range q.Take(rapid.IntRange(1, 5).Draw(t, "n")) {
					kind := s.Answer != Served
					if len(held[kind]) == 0 || held[kind][0] != s {
						t.Fatalf("story %d comes out of its order", s.Came)
					}
					held[kind] = held[kind][1:]
				}
			}
			bytes := 0
			for _, of := range held {
				for _, s := range of {
					bytes += s.Size()
				}
			}
			if q.Bytes() != bytes || bytes > most || q.Len() != len(held[false])+len(held[true]) {
				t.Fatalf("the queue holds %d stories of %d bytes, the model %d", q.Len(), q.Bytes(), bytes)
			}
		}
	})
}

// TestJunk guards notable stories against clients that send what can't be read.
func TestJunk(t *testing.T) {
	q := NewQueue(3000)
	q.Put(&Story{Answer: Failed, Request: "asked for"})
	for range 100 {
		q.Put(&Story{Answer: Unusable, By: ByDoor})
	}
	if first := q.Take(1)[0]; first.Request != "asked for" {
		t.Errorf("first comes %+v", first)
	}
}

// TestTries guards the table's bound, and repeats against links to what they don't
// repeat: a later try, one long ago, or another's.
func TestTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 4).Draw(t, "most")
		table := NewTries(most)
		var all []*Story
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			s := &Story{Trace: NewID(), Span: NewSpanID(), Try: rapid.Uint64Range(0, 6).Draw(t, "try"),
				Repeat: rapid.Bool().Draw(t, "repeat"), Came: time.Duration(rapid.IntRange(0, 100).Draw(t, "came")), Window: 20}
			table.Link(s)
			all = append(all, s)
			if table.Len() > most {
				t.Fatalf("%d things are known, at most %d may be", table.Len(), most)
			}
			for _, l := range s.Links {
				i := 0
				for all[i].Span != l.Span {
					i++
				}
				if b := all[i]; s.Try == 0 || !s.Repeat || b.Try != s.Try || b.Came >= s.Came || s.Came > b.Came+b.Window {
					t.Fatalf("%+v is linked to %+v", s, b)
				}
			}
		}
	})
}
