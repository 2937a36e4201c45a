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

// ErrLarge tells that an object is larger than MaxObject.
var ErrLarge = errors.New("an object of the list is larger than 8 MiB")

// Cut is the error of an answer that broke within an object: a change may be lost with it.
type Cut struct{ error }

// Unwrap returns what broke it.
func (c Cut) Unwrap() error { return c.error }

// Objects reads the objects of one answer.
type Objects struct {
	dec *json.Decoder
	in  *bounded
}

// New reads from an answer; some is told of all that comes, and whether that was an empty
// line between two objects and nothing else. Guards a list that comes in pieces from being
// broken off: the next call would bring it no faster.
func New(answer io.Reader, some func(beat bool)) *Objects {
	in := &bounded{from: answer, some: some}
	return &Objects{dec: json.NewDecoder(in), in: in}
}

// Next reads the next object into v. It returns io.EOF where the answer ends between two
// objects. After any other error nothing more can be read: an object that is cut, or
// garbage, costs the rest of the answer and no more, and v is not to be used.
func (o *Objects) Next(v any) error {
	o.in.most = o.dec.InputOffset() + MaxObject
	ahead, _ := io.ReadAll(o.dec.Buffered()) // of memory
	o.in.within = len(bytes.TrimSpace(ahead)) > 0
	err := o.dec.Decode(v)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return err
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Cut{errors.New("the answer ends within an object")}
	case o.in.within:
		return Cut{fmt.Errorf("reading an object: %w", err)}
	}
	return fmt.Errorf("reading an object: %w", err)
}

// bounded reads up to a place in the answer.
type bounded struct {
	from   io.Reader
	some   func(beat bool)
	read   int64
	most   int64
	within bool // a part of the next object has come
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.read >= b.most {
		return 0, ErrLarge
	}
	n, err := b.from.Read(p)
	b.read += int64(n)
	if n > 0 {
		b.within = b.within || len(bytes.TrimSpace(p[:n])) > 0
		b.some(!b.within)
	}
	return n, err
}
