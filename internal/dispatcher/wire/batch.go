package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

// Batch is one frame of events, not yet decoded.
type Batch struct {
	Records int           // how many records Body holds
	Clock   time.Duration // the time of all its events
	Seq     uint32        // the number by which the reply refers to it
	Body    []byte
}

// ReadBatch reads the next frame into buf and returns it; the batch is valid until buf is used again. It returns io.EOF
// at the end of input between frames, and an error that names the fault for a malformed frame. Memory grows with the
// bytes that have arrived, never with the length that a header states.
func ReadBatch(r io.Reader, buf *bytes.Buffer) (Batch, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header cut off after %d of %d bytes: %w", n, batchHeader, err)
	}
	le := binary.LittleEndian
	records, size := le.Uint32(head[0:]), le.Uint32(head[4:])
	b := Batch{Records: int(records), Clock: fromMicros(le.Uint64(head[8:])), Seq: le.Uint32(head[16:])}
	if size < batchHeader {
		return Batch{}, fmt.Errorf("batch %d: frame length %d is less than its header", b.Seq, size)
	}
	body := int64(size) - batchHeader
	if int64(records)*minRecord > body {
		return Batch{}, fmt.Errorf("batch %d: %d records cannot fit in %d bytes", b.Seq, records, body)
	}
	buf.Reset()
	if n, err := io.CopyN(buf, r, body); err != nil {
		return Batch{}, fmt.Errorf("batch %d: body cut off after %d of %d bytes: %w", b.Seq, n, body, err)
	}
	b.Body = buf.Bytes()
	return b, nil
}
