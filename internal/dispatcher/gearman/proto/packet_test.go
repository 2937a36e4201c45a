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

// read reads a stream to its end.
func read(in io.Reader, most int) (got []string, err error) {
	for r := NewReader(in, most); ; {
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

func TestReader(t *testing.T) {
	submit := AppendRequest(nil, SubmitJob, []byte("cut"), []byte("u1"), []byte("a\x00b"))
	for _, tc := range []struct {
		name string
		in   string
		want []string
		err  error
	}{
		{"a job, whose last argument holds any bytes", string(submit), []string{`SUBMIT_JOB "cut" "u1" "a\x00b"`}, io.EOF},
		{"without arguments", string(AppendRequest(nil, GrabJob)), []string{"GRAB_JOB"}, io.EOF},
		{"lines and packets", "status\r\n" + string(submit) + "workers\n", []string{"line status", `SUBMIT_JOB "cut" "u1" "a\x00b"`, "line workers"}, io.EOF},
		{"cut in the header", string(submit[:7]), nil, io.ErrUnexpectedEOF},
		{"cut in the data", string(submit[:15]), nil, io.ErrUnexpectedEOF},
		{"cut in a line", "stat", nil, io.ErrUnexpectedEOF},
		{"the wrong magic", "\x00RES" + string(submit[4:]), nil, ErrMagic},
		{"no kind", "\x00REQ\x00\x00\x00\x05\x00\x00\x00\x00", nil, ErrType},
		{"a server's kind", "\x00REQ\x00\x00\x00\x08\x00\x00\x00\x00", nil, ErrType},
		{"4 GB by its header", "\x00REQ\x00\x00\x00\x07\xff\xff\xff\xff", nil, ErrLarge},
		{"an argument too few", "\x00REQ\x00\x00\x00\x07\x00\x00\x00\x03a\x00b", nil, ErrArgs},
		{"a line without end", strings.Repeat("x", maxLine+1), nil, ErrLine},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, in := range []io.Reader{strings.NewReader(tc.in), iotest.OneByteReader(strings.NewReader(tc.in))} {
				got, err := read(in, 1000)
				if diff := cmp.Diff(tc.want, got); diff != "" || !errors.Is(err, tc.err) {
					t.Errorf("ended with %v, (-want +got):\n%s", err, diff)
				}
			}
		})
	}
}

// TestRoundTrip checks that what is written is read back, however the stream is split.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want []string
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			kind := rapid.SampledFrom([]Type{CanDo, SubmitJob, GrabJobUniq, WorkComplete, WorkStatus, SubmitJobSched, EchoReq}).Draw(t, "kind")
			text := kind.String()
			var args [][]byte
			for i := range packetForms[kind].args {
				a := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "arg")
				if i < packetForms[kind].args-1 {
					a = bytes.ReplaceAll(a, []byte{0}, nil)
				}
				args = append(args, a)
				text += fmt.Sprintf(" %q", a)
			}
			stream, want = AppendRequest(stream, kind, args...), append(want, text)
		}
		got, err := read(iotest.HalfReader(bytes.NewReader(stream)), 1000)
		if diff := cmp.Diff(want, got); diff != "" || !errors.Is(err, io.EOF) {
			t.Fatalf("ended with %v, (-want +got):\n%s", err, diff)
		}
	})
}

// FuzzReader checks that reading any stream ends with an error and takes no more memory than the
// stream has bytes.
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
				t.Fatalf("%d bytes of %d", size, len(stream))
			}
		}
		if cap(r.buf) > len(stream)+256<<10 {
			t.Fatalf("a buffer of %d for %d bytes", cap(r.buf), len(stream))
		}
	})
}
