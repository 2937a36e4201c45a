package trace

import (
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

const validParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// TestParseParent checks that the header is parsed as its specification says, and that formatting
// the result and parsing it again yields the same context.
func TestParseParent(t *testing.T) {
	for _, tc := range []struct {
		name, parent, state string
		ok, sampled         bool
		wantState           string
	}{
		{"as it should be", validParent, "a=1,b=2", true, true, "a=1,b=2"},
		{"not sampled", validParent[:53] + "00", "", true, false, ""},
		{"other flags", validParent[:53] + "fe", "", true, false, ""},
		{"later version with more fields", "cc" + validParent[2:] + "-what-else", "", true, true, ""},
		{"later version with a malformed suffix", "cc" + validParent[2:] + "what", "", false, false, ""},
		{"version 00 with more fields", validParent + "-00", "", false, false, ""},
		{"forbidden version", "ff" + validParent[2:], "", false, false, ""},
		{"upper case", strings.ToUpper(validParent), "", false, false, ""},
		{"zero trace id", "00-" + strings.Repeat("0", 32) + validParent[35:], "", false, false, ""},
		{"zero span id", validParent[:36] + strings.Repeat("0", 16) + validParent[52:], "", false, false, ""},
		{"short", validParent[:54], "", false, false, ""},
		{"empty", "", "a=1", false, false, ""},
		{"not hexadecimal", strings.Replace(validParent, "4", "g", 1), "", false, false, ""},
		{"state in ISO 8859-1", validParent, "a=repetici\xf3n", true, true, ""},
		{"state with a control character", validParent, "a=\x7f", true, true, ""},
		{"state too long", validParent, strings.Repeat("x", 513), true, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, ok := ParseParent(tc.parent, tc.state)
			if ok != tc.ok || c.Sampled != tc.sampled || c.State != tc.wantState {
				t.Errorf("got %+v, valid %t", c, ok)
			}
			if reparsed, _ := ParseParent(c.Parent(), c.State); ok && reparsed != c {
				t.Errorf("formatted and parsed again, %+v is %+v", c, reparsed)
			}
		})
	}
}

// FuzzParseParent checks that an invalid header yields the zero context, that formatting a valid one
// and parsing it again yields the same context, and that its state can be encoded in a span.
func FuzzParseParent(f *testing.F) {
	f.Add(validParent, "a=1")
	f.Add("cc"+validParent[2:]+"-", "")
	f.Add(validParent, "a=\xf3")
	f.Fuzz(func(t *testing.T, parent, state string) {
		c, ok := ParseParent(parent, state)
		if !ok && c != (Context{}) {
			t.Errorf("%q is rejected, but the context is %+v, want the zero value", parent, c)
		}
		if !utf8.ValidString(c.State) {
			t.Errorf("the state is %q", c.State)
		}
		if reparsed, reparsedOK := ParseParent(c.Parent(), c.State); ok && (!reparsedOK || reparsed != c) {
			t.Errorf("%q: formatted and parsed again, %+v is %+v", parent, c, reparsed)
		}
	})
}

// TestHedges checks that an attempt that starts while another is in progress is recorded as its
// hedge, and one that starts after all have ended as a retry.
func TestHedges(t *testing.T) {
	var record Record
	record.StartAttempt(Attempt{Backend: "a"})
	record.StartAttempt(Attempt{Backend: "b"})
	record.Attempts[0].Ended = 1
	record.StartAttempt(Attempt{Backend: "c"})
	record.Attempts[1].Ended, record.Attempts[2].Ended = 2, 2
	record.StartAttempt(Attempt{Backend: "d"})
	var got []any
	for _, attempt := range record.Attempts {
		got = append(got, attempt.Kind, attempt.HedgeOf)
	}
	if diff := cmp.Diff([]any{First, 0, Hedge, 0, Hedge, 1, Retry, 0}, got); diff != "" {
		t.Errorf("kinds and hedged attempts (-want +got):\n%s", diff)
	}
	if record.Result = Served; NotableReason(&record) != KeptHedged {
		t.Error("a hedged request is not notable as hedged")
	}
}

// TestKeep checks that notable records are always kept, and plain ones according to the ratio or
// the client's flag.
func TestKeep(t *testing.T) {
	client, _ := ParseParent(validParent, "")
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
		{"client samples", Sampler{Parent: true}, Record{Result: Served, Parent: client.Span, ParentSampled: true}, true},
		{"client does not sample", Sampler{Ratio: 1, Parent: true}, Record{Result: Served, Parent: client.Span}, false},
		{"client does not sample, but the request failed", Sampler{Ratio: 1, Parent: true}, Record{Result: Failed, Parent: client.Span}, true},
		{"client's flag is not used", Sampler{Ratio: 1}, Record{Result: Served, Parent: client.Span}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.record.Selected = tc.sampler.Select(&tc.record)
			if keep, _ := tc.sampler.Keep(&tc.record); keep != tc.keep {
				t.Errorf("kept is %t", keep)
			}
		})
	}
	selected := 0
	for range 20000 {
		record := Record{Trace: NewID()}
		if (Sampler{Ratio: 0.1}).Select(&record) {
			selected++
		}
	}
	if selected < 1700 || selected > 2300 {
		t.Errorf("ratio 0.1 selects %d of 20000 records, want 1700 to 2300", selected)
	}
}

// TestQueue checks that the queue keeps to its bound, drops no notable record while it holds a
// plain one, and drops the oldest records first. The model is a list of the queued records of each
// kind.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(600, 20000).Draw(t, "limit")
		q := NewQueue(limit)
		queued := map[bool][]*Record{}
		for i := range rapid.IntRange(1, 200).Draw(t, "puts") {
			record := &Record{Result: Served, Request: strings.Repeat("x", rapid.IntRange(0, 128).Draw(t, "id")), Received: time.Duration(i)}
			notable := rapid.Bool().Draw(t, "notable")
			if notable {
				record.Result = Refused
			}
			queued[notable] = append(queued[notable], record)
			plain, lost := q.Put(record)
			if lost > 0 && len(queued[false]) > plain {
				t.Fatalf("%d notable records were dropped while %d plain ones stayed", lost, len(queued[false])-plain)
			}
			queued[false], queued[true] = queued[false][plain:], queued[true][lost:]
			if rapid.IntRange(0, 9).Draw(t, "take") == 0 {
				for _, record := range q.Take(rapid.IntRange(1, 5).Draw(t, "n")) {
					isNotable := record.Result != Served
					if len(queued[isNotable]) == 0 || queued[isNotable][0] != record {
						t.Fatalf("record %d is removed out of order", record.Received)
					}
					queued[isNotable] = queued[isNotable][1:]
				}
			}
			bytes := 0
			for _, records := range queued {
				for _, record := range records {
					bytes += record.Size()
				}
			}
			if q.Bytes() != bytes || bytes > limit || q.Len() != len(queued[false])+len(queued[true]) {
				t.Fatalf("the queue holds %d records of %d bytes, want %d bytes", q.Len(), q.Bytes(), bytes)
			}
		}
	})
}

// TestQueueMalformed checks that malformed requests displace no notable record.
func TestQueueMalformed(t *testing.T) {
	q := NewQueue(3000)
	q.Put(&Record{Result: Failed, Request: "notable"})
	for range 100 {
		q.Put(&Record{Result: Invalid, AnsweredBy: ByIngress})
	}
	if first := q.Take(1)[0]; first.Request != "notable" {
		t.Errorf("the first record is %+v, want the notable one", first)
	}
}

// TestRetryTable checks that the table keeps to its bound, and links no retry to a later request,
// to one that has expired, or to one with another key.
func TestRetryTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		table := NewRetryTable(limit)
		var records []*Record
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			record := &Record{Trace: NewID(), Span: NewSpanID(), RetryKey: rapid.Uint64Range(0, 6).Draw(t, "retryKey"),
				ClientRetry: rapid.Bool().Draw(t, "clientRetry"), Received: time.Duration(rapid.IntRange(0, 100).Draw(t, "received")), RetryWindow: 20}
			table.Link(record)
			records = append(records, record)
			if table.Len() > limit {
				t.Fatalf("the table holds %d keys, at most %d are allowed", table.Len(), limit)
			}
			for _, link := range record.Links {
				i := 0
				for records[i].Span != link.Span {
					i++
				}
				if linked := records[i]; record.RetryKey == 0 || !record.ClientRetry || linked.RetryKey != record.RetryKey || linked.Received >= record.Received || record.Received > linked.Received+linked.RetryWindow {
					t.Fatalf("%+v must not be linked to %+v", record, linked)
				}
			}
		}
	})
}
