package stream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

type object struct {
	Rev *int `json:"rev"`
}

// read returns the versions in a response, the number of heartbeats, and the error at the end.
func read(in io.Reader) (revs []int, heartbeats int, err error) {
	o := New(in, func(heartbeat bool) {
		if heartbeat {
			heartbeats++
		}
	})
	for {
		var v object
		if err = o.Next(&v); err != nil {
			return revs, heartbeats, err
		}
		if v.Rev != nil {
			revs = append(revs, *v.Rev)
		}
	}
}

// TestLayouts has objects read in any layout and in reads of any size, and an object that can't be read cost those after
// it and none before.
func TestLayouts(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		revs       []int
		end        string // part of the error; empty for the answer's end
	}{
		{"a line each", "{\"rev\":1}\n{\"rev\":2}\n", []int{1, 2}, ""},
		{"indented", "{\n    \"rev\": 1,\n    \"targets\": [\n        {\n        }\n    ]\n}\n\n{\n\t\"rev\" :\t2\r\n}", []int{1, 2}, ""},
		{"all in a row", `{"rev":1}{"rev":2}`, []int{1, 2}, ""},
		{"empty lines", "\n\n{\"rev\":1}\n\n", []int{1}, ""},
		{"truncated", "{\"rev\":1}\n{\"rev\":2", []int{1}, "ends within"},
		{"garbage behind", "{\"rev\":1} <html>", []int{1}, "reading an object"},
		{"a wrong type", "{\"rev\":1}{\"rev\":\"2\"}{\"rev\":3}", []int{1}, "reading an object"},
		{"nested too deep", "{\"rev\":1}{\"x\":" + strings.Repeat("[", 20_000), []int{1}, "reading an object"},
		{"too large", "{\"rev\":1}{\"x\":\"" + strings.Repeat("y", MaxObject+4096), []int{1}, ErrTooLarge.Error()},
		{"white space without end", strings.Repeat(" ", MaxObject+4096), nil, ErrTooLarge.Error()},
	} {
		for _, in := range []io.Reader{strings.NewReader(tc.text), iotest.HalfReader(strings.NewReader(tc.text)), iotest.DataErrReader(strings.NewReader(tc.text))} {
			revs, _, err := read(in)
			if diff := cmp.Diff(tc.revs, revs); diff != "" {
				t.Errorf("%s (-want +got):\n%s", tc.name, diff)
			}
			if tc.end == "" && !errors.Is(err, io.EOF) || !strings.Contains(err.Error(), tc.end) {
				t.Errorf("%s: ended by %v", tc.name, err)
			}
		}
	}
}

// TestHeartbeats has white space between objects count as a heartbeat, and white space within an object not.
func TestHeartbeats(t *testing.T) {
	_, heartbeats, _ := read(iotest.OneByteReader(strings.NewReader("\n{\n  \"rev\": 1\n}\n{  \"rev\" :2 }\n")))
	if heartbeats != 3 {
		t.Errorf("%d heartbeats, want those before, between and behind the objects", heartbeats)
	}
}

// TestTruncated has a response that is truncated at any byte give the complete objects before that and no other, and the
// error show whether it ended within an object.
func TestTruncated(t *testing.T) {
	const first, second = "{\"rev\": 1}\n", "{\n \"rev\": 2\n}\n"
	for length := range len(first + second) {
		text := (first + second)[:length]
		revs, _, err := read(strings.NewReader(text))
		var want []int
		if length >= len(first)-1 {
			want = []int{1}
		}
		if length >= len(first+second)-1 {
			want = []int{1, 2}
		}
		if diff := cmp.Diff(want, revs); diff != "" {
			t.Errorf("truncated after %q (-want +got):\n%s", text, diff)
		}
		within := length > 0 && length < len(first)-1 || length > len(first) && length < len(first+second)-1
		if isCut := errors.As(err, new(TruncatedError)); isCut != within || !within && !errors.Is(err, io.EOF) {
			t.Errorf("truncated after %q: %v, within an object: %t", text, err, within)
		}
	}
}
