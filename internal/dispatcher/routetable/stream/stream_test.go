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

// readAll decodes a response to its end and returns the versions of its objects, the number of
// heartbeats and the final error.
func readAll(in io.Reader) (revs []int, heartbeats int, err error) {
	reader := New(in, func(heartbeat bool) {
		if heartbeat {
			heartbeats++
		}
	})
	for {
		var v object
		if err = reader.Next(&v); err != nil {
			return revs, heartbeats, err
		}
		if v.Rev != nil {
			revs = append(revs, *v.Rev)
		}
	}
}

// TestLayouts decodes objects in any layout and in reads of any size, and checks that an invalid
// object affects the objects after it but none before.
func TestLayouts(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		revs       []int
		end        string // part of the final error; empty if the response ends between two objects
	}{
		{"a line each", "{\"rev\":1}\n{\"rev\":2}\n", []int{1, 2}, ""},
		{"indented", "{\n    \"rev\": 1,\n    \"targets\": [\n        {\n        }\n    ]\n}\n\n{\n\t\"rev\" :\t2\r\n}", []int{1, 2}, ""},
		{"all in a row", `{"rev":1}{"rev":2}`, []int{1, 2}, ""},
		{"empty lines", "\n\n{\"rev\":1}\n\n", []int{1}, ""},
		{"truncated", "{\"rev\":1}\n{\"rev\":2", []int{1}, "ends within"},
		{"trailing garbage", "{\"rev\":1} <html>", []int{1}, "reading an object"},
		{"a wrong type", "{\"rev\":1}{\"rev\":\"2\"}{\"rev\":3}", []int{1}, "reading an object"},
		{"nested too deep", "{\"rev\":1}{\"x\":" + strings.Repeat("[", 20_000), []int{1}, "reading an object"},
		{"too large", "{\"rev\":1}{\"x\":\"" + strings.Repeat("y", MaxObject+4096), []int{1}, ErrTooLarge.Error()},
		{"unlimited white space", strings.Repeat(" ", MaxObject+4096), nil, ErrTooLarge.Error()},
	} {
		for _, in := range []io.Reader{strings.NewReader(tc.text), iotest.HalfReader(strings.NewReader(tc.text)), iotest.DataErrReader(strings.NewReader(tc.text))} {
			revs, _, err := readAll(in)
			if diff := cmp.Diff(tc.revs, revs); diff != "" {
				t.Errorf("%s: versions (-want +got):\n%s", tc.name, diff)
			}
			if tc.end == "" && !errors.Is(err, io.EOF) || !strings.Contains(err.Error(), tc.end) {
				t.Errorf("%s: unexpected final error %v", tc.name, err)
			}
		}
	}
}

// TestHeartbeats checks that white space between objects counts as a heartbeat and white space
// within an object does not.
func TestHeartbeats(t *testing.T) {
	_, heartbeats, _ := readAll(iotest.OneByteReader(strings.NewReader("\n{\n  \"rev\": 1\n}\n{  \"rev\" :2 }\n")))
	if heartbeats != 3 {
		t.Errorf("got %d heartbeats, want 3: before, between and after the objects", heartbeats)
	}
}

// TestTruncated truncates a response at every byte, and checks that it yields exactly the objects
// that were complete by then and that the error shows whether it ended within an object.
func TestTruncated(t *testing.T) {
	const first, second = "{\"rev\": 1}\n", "{\n \"rev\": 2\n}\n"
	for length := range len(first + second) {
		text := (first + second)[:length]
		revs, _, err := readAll(strings.NewReader(text))
		var want []int
		if length >= len(first)-1 {
			want = []int{1}
		}
		if length >= len(first+second)-1 {
			want = []int{1, 2}
		}
		if diff := cmp.Diff(want, revs); diff != "" {
			t.Errorf("truncated after %q: versions (-want +got):\n%s", text, diff)
		}
		within := length > 0 && length < len(first)-1 || length > len(first) && length < len(first+second)-1
		if truncated := errors.As(err, new(TruncatedError)); truncated != within || !within && !errors.Is(err, io.EOF) {
			t.Errorf("truncated after %q: got error %v, want a TruncatedError: %t", text, err, within)
		}
	}
}
