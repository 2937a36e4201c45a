// Package stream reads what discovery answers: JSON objects one after another, in any
// layout, on one line or over many. It reads by the library's decoder as the bytes come and
// holds one object at a time.
package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxObject bounds one object in bytes: a whole list of 10,000 runners, indented, with room
// to spare. Past it the call fails. What nests more than 10,000 deep fails in the decoder.
const MaxObject = 8 << 20

// ErrTooLarge tells that an object is larger than MaxObject.
var ErrTooLarge = errors.New("an object of the list is larger than 8 MiB")

// TruncatedError is the error of an answer that broke within an object: a change may be lost with it.
type TruncatedError struct{ error }

// Unwrap returns what broke it.
func (c TruncatedError) Unwrap() error { return c.error }

// Reader reads the objects of one answer.
type Reader struct {
	decoder *json.Decoder
	in      *boundedReader
}

// New reads from an answer; some is told of all that comes, and whether that was an empty
// line between two objects and nothing else. Guards a list that comes in pieces from being
// broken off: the next call would bring it no faster.
func New(response io.Reader, onBytes func(heartbeat bool)) *Reader {
	in := &boundedReader{from: response, onBytes: onBytes}
	return &Reader{decoder: json.NewDecoder(in), in: in}
}

// Next reads the next object into v. It returns io.EOF where the answer ends between two
// objects. After any other error nothing more can be read: an object that is cut, or
// garbage, costs the rest of the answer and no more, and v is not to be used.
func (o *Reader) Next(v any) error {
	o.in.limit = o.decoder.InputOffset() + MaxObject
	ahead, _ := io.ReadAll(o.decoder.Buffered()) // of memory
	o.in.partial = len(bytes.TrimSpace(ahead)) > 0
	err := o.decoder.Decode(v)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return err
	case errors.Is(err, io.ErrUnexpectedEOF):
		return TruncatedError{errors.New("the answer ends within an object")}
	case o.in.partial:
		return TruncatedError{fmt.Errorf("reading an object: %w", err)}
	}
	return fmt.Errorf("reading an object: %w", err)
}

// boundedReader reads up to a place in the answer.
type boundedReader struct {
	from    io.Reader
	onBytes func(heartbeat bool)
	read    int64
	limit   int64
	partial bool // a part of the next object has come
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.read >= b.limit {
		return 0, ErrTooLarge
	}
	n, err := b.from.Read(p)
	b.read += int64(n)
	if n > 0 {
		b.partial = b.partial || len(bytes.TrimSpace(p[:n])) > 0
		b.onBytes(!b.partial)
	}
	return n, err
}
