package proto

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// readAll reads a stream up to its first error, and returns each packet or line as text. A packet
// may have at most maxBytes bytes of data.
func readAll(in io.Reader, maxBytes int) (got []string, err error) {
	for r := NewReader(in, maxBytes); ; {
		p, err := r.Next()
		if err != nil {
			return got, err
		}
		text := p.Type.String()
		if p.Type == 0 {
			text = "line " + p.Line
		}
		for _, a := range p.Args {
			text += fmt.Sprintf(" %q", a)
		}
		got = append(got, text)
	}
}

// TestReader checks what Next returns for valid and malformed streams, which arrive at once or byte
// by byte.
func TestReader(t *testing.T) {
	submit := AppendRequest(nil, SubmitJob, []byte("cut"), []byte("u1"), []byte("a\x00b"))
	for _, tc := range []struct {
		name string
		in   string
		want []string
		err  error
	}{
		{"a job whose last argument contains NUL", string(submit), []string{`SUBMIT_JOB "cut" "u1" "a\x00b"`}, io.EOF},
		{"no arguments", string(AppendRequest(nil, GrabJob)), []string{"GRAB_JOB"}, io.EOF},
		{"lines and packets mixed", "status\r\n" + string(submit) + "workers\n", []string{"line status", `SUBMIT_JOB "cut" "u1" "a\x00b"`, "line workers"}, io.EOF},
		{"truncated header", string(submit[:7]), nil, io.ErrUnexpectedEOF},
		{"truncated data", string(submit[:15]), nil, io.ErrUnexpectedEOF},
		{"truncated line", "stat", nil, io.ErrUnexpectedEOF},
		{"wrong magic", "\x00RES" + string(submit[4:]), nil, ErrMagic},
		{"unknown type", "\x00REQ\x00\x00\x00\x05\x00\x00\x00\x00", nil, ErrType},
		{"response type in a request", "\x00REQ\x00\x00\x00\x08\x00\x00\x00\x00", nil, ErrType},
		{"header announces 4 GB", "\x00REQ\x00\x00\x00\x07\xff\xff\xff\xff", nil, ErrLarge},
		{"too few arguments", "\x00REQ\x00\x00\x00\x07\x00\x00\x00\x03a\x00b", nil, ErrArgs},
		{"line too long", strings.Repeat("x", maxLineBytes+1), nil, ErrLine},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, in := range []io.Reader{strings.NewReader(tc.in), iotest.OneByteReader(strings.NewReader(tc.in))} {
				got, err := readAll(in, 1000)
				if diff := cmp.Diff(tc.want, got); diff != "" || !errors.Is(err, tc.err) {
					t.Errorf("got error %v; packets (-want +got):\n%s", err, diff)
				}
			}
		})
	}
}

// TestRoundTrip checks that a Reader returns the packets that AppendRequest has encoded, also when
// the stream arrives in short reads.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want []string
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			packetType := rapid.SampledFrom([]Type{CanDo, SubmitJob, GrabJobUniq, WorkComplete, WorkStatus, SubmitJobSched, EchoReq}).Draw(t, "kind")
			text := packetType.String()
			var args [][]byte
			for i := range packetSpecs[packetType].args {
				a := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "arg")
				if i < packetSpecs[packetType].args-1 {
					a = bytes.ReplaceAll(a, []byte{0}, nil)
				}
				args = append(args, a)
				text += fmt.Sprintf(" %q", a)
			}
			stream, want = AppendRequest(stream, packetType, args...), append(want, text)
		}
		got, err := readAll(iotest.HalfReader(bytes.NewReader(stream)), 1000)
		if diff := cmp.Diff(want, got); diff != "" || !errors.Is(err, io.EOF) {
			t.Fatalf("got error %v, want EOF; packets (-want +got):\n%s", err, diff)
		}
	})
}

// FuzzReader checks for any stream that reading ends with an error, that the data of each packet or
// line is no longer than the stream, and that the buffer is at most 256 KiB larger than the stream.
func FuzzReader(f *testing.F) {
	f.Add([]byte("status\n"))
	f.Add(AppendRequest(nil, SubmitJob, []byte("cut"), []byte("u1"), []byte("x")))
	f.Add([]byte("\x00REQ\x00\x00\x00\x07\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := NewReader(bytes.NewReader(stream), 1<<20)
		for {
			p, err := r.Next()
			if err != nil {
				break
			}
			size := len(p.Line)
			for _, a := range p.Args {
				size += len(a)
			}
			if size > len(stream) {
				t.Fatalf("got a packet or line of %d bytes from a stream of %d", size, len(stream))
			}
		}
		if cap(r.buf) > len(stream)+256<<10 {
			t.Fatalf("got a buffer of %d bytes for a stream of %d, want at most 256 KiB more", cap(r.buf), len(stream))
		}
	})
}
