package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"frosttide/decision"
)

// frame encodes a frame whose records are given in hexadecimal; spaces are ignored.
func frame(t testing.TB, records int, body string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(body), ""))
	if err != nil {
		t.Fatal(err)
	}
	out := make([]byte, 0, batchHeaderSize+len(raw))
	out = binary.LittleEndian.AppendUint32(out, uint32(records))
	out = binary.LittleEndian.AppendUint32(out, uint32(batchHeaderSize+len(raw)))
	out = binary.LittleEndian.AppendUint64(out, 0x805c5a)
	out = binary.LittleEndian.AppendUint32(out, 12)
	return append(out, raw...)
}

// recorder is a Handler that records its calls and events.
type recorder struct {
	events []decision.Event
	calls  []string
}

func (r *recorder) Provision(n int, seed uint64, text []byte) {
	r.calls = append(r.calls, fmt.Sprintf("provision %d %x %s", n, seed, text))
}
func (r *recorder) Detach(n int) { r.calls = append(r.calls, fmt.Sprintf("detach %d", n)) }
func (r *recorder) Event(n int, ev *decision.Event) {
	r.calls = append(r.calls, fmt.Sprintf("event %d", n))
	r.events = append(r.events, *ev)
}

// decode decodes one frame with a new Decoder.
func decode(t testing.TB, raw []byte) (*recorder, error) {
	t.Helper()
	var buf bytes.Buffer
	b, err := ReadBatch(bytes.NewReader(raw), &buf)
	if err != nil {
		return nil, err
	}
	var rec recorder
	var d Decoder
	return &rec, d.Decode(b, &rec)
}

// TestDecodeDocumentedRecords decodes the example records of the protocol's documentation.
func TestDecodeDocumentedRecords(t *testing.T) {
	const id, worker = 0x5d3a91c4, 0x03124a07
	us := func(us int) time.Duration { return time.Duration(us) * time.Microsecond }
	tests := map[string]struct {
		hex  string
		n    int
		want decision.Event
	}{
		"arrival": {"0801 0300 c4913a5d da05840000000000 00000040 640ad2557c3bf091 0000c03f 00000000 00 e02e0000 01", 1,
			decision.Event{Type: decision.RequestArrived, Request: id, Deadline: us(0x8405da), Slots: 2,
				Key: 0x91f03b7c55d20a64, Memory: 1.5, Hint: 12 * time.Millisecond}},
		"bell":        {"0201 0300 4d000000", 1, decision.Event{Type: decision.TimerFired, Token: 77}},
		"client left": {"0701 0500 192b6f0e", 1, decision.Event{Type: decision.RequestCanceled, Request: 0x0e6f2b19}},
		"accepted": {"0101 0300 c4913a5d 0000 074a1203 22240000", 1,
			decision.Event{Type: decision.AttemptAccepted, Request: id, Worker: worker}},
		"interim": {"0601 0300 c4913a5d 074a1203 01 0000 0000003f", 1,
			decision.Event{Type: decision.AttemptStarted, Request: id, Worker: worker, Progress: 0.5}},
		"response": {"0301 0300 c4913a5d 074a1203 0000 00 0000 01 44480000 00", 1,
			decision.Event{Type: decision.AttemptEnded, Request: id, Worker: worker, RequestClosed: true}},
		"probe done": {"0401 0300 f211902c 0000 78050000 04 0000003f0000e040cdcccc3e0000a03f", 1,
			decision.Event{Type: decision.ProbeEnded, Worker: 0x2c9011f2, LoadCount: 4,
				Load: [4]float32{0.5, 7, 0.4, 1.25}}},
		"census and fleet": {`0501 00 02000000 074a1203 0000 0000 0000 00 0000803f 0000000000000000
			f211902c 0100 0000 0000 00 0000c03f 20145d0000000000 0b01 0300 00 03 2900000000000000`, 2,
			decision.Event{Type: decision.MembersReplaced, Members: []decision.Member{
				{Worker: worker, Weight: 1}, {Worker: 0x2c9011f2, Zone: 1, Weight: 1.5, StartedAt: us(0x5d1420)}}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rec, err := decode(t, frame(t, tt.n, tt.hex))
			if err != nil {
				t.Fatal(err)
			}
			if len(rec.events) != 1 || !reflect.DeepEqual(rec.events[0], tt.want) {
				t.Errorf("got %+v, want %+v", rec.events, tt.want)
			}
		})
	}
}

// TestDecodeKeepsOrderOfIncarnations checks that the calls for the stop and the restart of an
// instance, and for its events, keep the order of the records, and that a message of a peer leads
// to no call.
func TestDecodeKeepsOrderOfIncarnations(t *testing.T) {
	body := "0001 0300  0901 0300 0800000000000000 02000000 7b7d  0201 0300 4d000000  0a01 0300 0200 0400 68692037"
	rec, err := decode(t, frame(t, 4, body))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"detach 3", "provision 3 8 {}", "event 3"}
	if !reflect.DeepEqual(rec.calls, want) {
		t.Errorf("got %q, want %q", rec.calls, want)
	}
}

// TestReplacedListKeepsEarlierEvents checks that an event keeps its worker list if a later record
// of the same batch replaces the list with that number.
func TestReplacedListKeepsEarlierEvents(t *testing.T) {
	list := func(id string) string {
		return "0501 04 01000000 " + id + " 0000 0000 0000 00 0000803f 0000000000000000 "
	}
	rec, err := decode(t, frame(t, 4, list("01000000")+"0b01 0100 04 01 0000000000000000 "+
		list("02000000")+"0b01 0200 04 01 0000000000000000"))
	if err != nil {
		t.Fatal(err)
	}
	if a, b := rec.events[0].Members[0].Worker, rec.events[1].Members[0].Worker; a != 1 || b != 2 {
		t.Errorf("got events with workers %d and %d, want 1 and 2", a, b)
	}
}

// TestMalformedFrameErrors checks that the error for a malformed frame describes the fault.
func TestMalformedFrameErrors(t *testing.T) {
	good := frame(t, 1, "0201 0300 4d000000")
	patched := func(at int, v byte) []byte {
		out := bytes.Clone(good)
		out[at] = v
		return out
	}
	tests := map[string]struct {
		raw  []byte
		want string
	}{
		"header cut off":          {good[:7], "header cut off after 7 of 20"},
		"body cut off":            {good[:24], "body cut off after 4 of 8"},
		"length below header":     {patched(4, 3), "less than its header"},
		"too many records":        {patched(0, 9), "cannot fit"},
		"trailing bytes":          {frame(t, 1, "0201 0300 4d000000 00"), "follow the last"},
		"record cut off":          {frame(t, 1, "0201 0300 4d00"), "ends inside"},
		"unknown code":            {frame(t, 1, "ff01 0300"), "unknown event code 511"},
		"unknown outcome":         {frame(t, 1, "0301 0300 c4913a5d 074a1203 0000 00 6300 01 44480000 00"), "unknown outcome 99"},
		"unknown progress kind":   {frame(t, 1, "0601 0300 c4913a5d 074a1203 07 0000 0000003f"), "unknown kind 7 of an attempt progress event"},
		"unknown list":            {frame(t, 1, "0b01 0300 05 01 0000000000000000"), "list 5 was never defined"},
		"unknown list event kind": {frame(t, 1, "0b01 0300 05 09 0000000000000000"), "unknown kind 9 of a worker list event"},
		"count past the end":      {frame(t, 1, "0501 00 ffffff7f"), "ends inside"},
		"list number":             {frame(t, 1, "0501 10 00000000"), "list number 16"},
		"load past the end":       {frame(t, 1, "0401 0300 f211902c 0000 78050000 ff"), "ends inside"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := decode(t, tt.raw)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

// TestHugeLengthDoesNotAllocate checks that no memory is allocated for the length that a header
// announces.
func TestHugeLengthDoesNotAllocate(t *testing.T) {
	head := frame(t, 0, "")
	binary.LittleEndian.PutUint32(head[4:], 0xffffffff)
	var buf bytes.Buffer
	if _, err := ReadBatch(bytes.NewReader(head), &buf); err == nil {
		t.Fatal("got no error for a frame without its body")
	}
	if buf.Cap() > 1<<20 {
		t.Errorf("got a buffer of %d bytes for a body that never arrived, want at most 1 MiB", buf.Cap())
	}
}

// TestEndOfInputBetweenFrames checks that the end of the input between two frames is io.EOF.
func TestEndOfInputBetweenFrames(t *testing.T) {
	var buf bytes.Buffer
	if _, err := ReadBatch(bytes.NewReader(nil), &buf); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
}

// FuzzDecode looks for panics and for frames that yield more calls than they have records.
func FuzzDecode(f *testing.F) {
	f.Add(frame(f, 0, ""))
	f.Add(frame(f, 1, "0801 0300 c4913a5d da05840000000000 00000040 640ad2557c3bf091 0000c03f 00000000 00 e02e0000 01"))
	f.Add(frame(f, 2, "0001 0300 0901 0300 0800000000000000 02000000 7b7d"))
	f.Add(frame(f, 1, "0501 00 01000000 074a1203 0000 0000 0000 00 0000803f 0000000000000000"))
	f.Add(frame(f, 1, "0301 0300 c4913a5d 074a1203 0000 00 0000 01 44480000 02 00000000 00000000"))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec, err := decode(t, raw)
		if err != nil {
			return
		}
		if records := binary.LittleEndian.Uint32(raw); len(rec.calls) > int(records) {
			t.Errorf("%d records led to %d calls", records, len(rec.calls))
		}
	})
}
