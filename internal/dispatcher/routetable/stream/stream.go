// Package stream reads discovery's responses: JSON objects one after another, in any layout, each on one line or
// over many. Package routetable uses it for responses and for lists that were kept as text. It decodes as bytes
// arrive and holds one object at a time. A Reader is for one goroutine.
package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxObject bounds one object in bytes: an indented list of 10,000 runners fits with a margin. The decoder itself
// bounds the nesting to 10,000 levels.
const MaxObject = 8 << 20

// ErrTooLarge is returned for an object that is larger than MaxObject.
var ErrTooLarge = errors.New("an object of the list is larger than 8 MiB")

// TruncatedError is the error of a response that broke off within an object, with which a change may be lost.
type TruncatedError struct{ error }

// Unwrap returns the error that broke the response off.
func (e TruncatedError) Unwrap() error { return e.error }

// Reader reads the objects of one response.
type Reader struct {
	decoder *json.Decoder
	in      *boundedReader
}

// New makes a reader of a response. It calls onBytes with each read that brings bytes, so that a list that arrives
// slowly is not taken for a broken connection; heartbeat reports that these bytes are white space between two
// objects and nothing else.
func New(response io.Reader, onBytes func(heartbeat bool)) *Reader {
	in := &boundedReader{from: response, onBytes: onBytes}
	return &Reader{decoder: json.NewDecoder(in), in: in}
}

// Next reads the next object into v. It returns io.EOF if the response ends between two objects, and a
// TruncatedError if it breaks off within one. After any error nothing more can be read and v must not be used;
// objects that were read before are not affected.
func (r *Reader) Next(v any) error {
	r.in.limit = r.decoder.InputOffset() + MaxObject
	buffered, _ := io.ReadAll(r.decoder.Buffered()) // can't fail: it reads memory
	r.in.partial = len(bytes.TrimSpace(buffered)) > 0
	err := r.decoder.Decode(v)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return err
	case errors.Is(err, io.ErrUnexpectedEOF):
		return TruncatedError{errors.New("the answer ends within an object")}
	case r.in.partial:
		return TruncatedError{fmt.Errorf("reading an object: %w", err)}
	}
	return fmt.Errorf("reading an object: %w", err)
}

// boundedReader reads the response up to a limit, which Next moves on with each object.
type boundedReader struct {
	from    io.Reader
	onBytes func(heartbeat bool)
	read    int64 // bytes read so far
	limit   int64 // bytes of the response that may be read
	partial bool  // a part of the next object has been read
}

// Read reads as io.Reader says, and fails with ErrTooLarge at the limit.
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
