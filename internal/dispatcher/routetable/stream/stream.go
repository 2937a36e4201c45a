// Package stream decodes discovery's responses: a sequence of JSON objects in any layout, each on
// one line or on several. Package routetable uses it for responses and for lists that were kept as
// text. It decodes as bytes arrive and holds one object at a time. A Reader is not safe for
// concurrent use.
package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxObject bounds the size of one object in bytes: an indented list of 10,000 runners fits with a
// margin. The decoder itself bounds the nesting to 10,000 levels.
const MaxObject = 8 << 20

// ErrTooLarge is returned for an object that exceeds MaxObject.
var ErrTooLarge = errors.New("an object of the list is larger than 8 MiB")

// TruncatedError is the error of a response that broke off within an object, so that a change may
// have been lost.
type TruncatedError struct{ error }

// Unwrap returns the error that ended the response.
func (e TruncatedError) Unwrap() error { return e.error }

// Reader decodes the objects of one response.
type Reader struct {
	decoder *json.Decoder
	in      *boundedReader
}

// New creates a Reader of a response. It calls onBytes after each read that returns bytes, so that
// a list that arrives slowly is not taken for a broken connection. Heartbeat reports that these
// bytes are nothing but white space between two objects.
func New(response io.Reader, onBytes func(heartbeat bool)) *Reader {
	in := &boundedReader{from: response, onBytes: onBytes}
	return &Reader{decoder: json.NewDecoder(in), in: in}
}

// Next decodes the next object into v. It returns io.EOF if the response ends between two objects,
// and a TruncatedError if it breaks off within one. After any error the Reader and v must not be
// used; objects decoded earlier are not affected.
func (r *Reader) Next(v any) error {
	r.in.limit = r.decoder.InputOffset() + MaxObject
	buffered, _ := io.ReadAll(r.decoder.Buffered()) // cannot fail: it reads from memory
	r.in.inObject = len(bytes.TrimSpace(buffered)) > 0
	err := r.decoder.Decode(v)
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return err
	case errors.Is(err, io.ErrUnexpectedEOF):
		return TruncatedError{errors.New("the response ends within an object")}
	case r.in.inObject:
		return TruncatedError{fmt.Errorf("reading an object: %w", err)}
	}
	return fmt.Errorf("reading an object: %w", err)
}

// boundedReader reads the response up to a limit, which Next advances with each object.
type boundedReader struct {
	from     io.Reader
	onBytes  func(heartbeat bool)
	read     int64 // bytes read so far
	limit    int64 // number of bytes of the response that may be read
	inObject bool  // part of the next object has been read
}

// Read implements io.Reader and fails with ErrTooLarge at the limit.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.read >= b.limit {
		return 0, ErrTooLarge
	}
	n, err := b.from.Read(p)
	b.read += int64(n)
	if n > 0 {
		b.inObject = b.inObject || len(bytes.TrimSpace(p[:n])) > 0
		b.onBytes(!b.inObject)
	}
	return n, err
}
