package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

// Batch is one frame of events whose records are not decoded yet.
type Batch struct {
	Records int           // number of records in Body
	Clock   time.Duration // time at which all events of the batch happen
	Seq     uint32        // sequence number, repeated in the reply
	Body    []byte
}

// ReadBatch reads the next frame into buf. The batch is valid until buf is used again. ReadBatch
// returns io.EOF if the input ends between two frames, and an error that describes the fault if a
// frame is malformed or cut off. It allocates memory for the bytes that have arrived, never for the
// length that a header announces.
func ReadBatch(r io.Reader, buf *bytes.Buffer) (Batch, error) {
	var header [batchHeaderSize]byte
	if n, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header cut off after %d of %d bytes: %w", n, batchHeaderSize, err)
	}
	littleEndian := binary.LittleEndian
	records, size := littleEndian.Uint32(header[0:]), littleEndian.Uint32(header[4:])
	b := Batch{Records: int(records), Clock: fromMicros(littleEndian.Uint64(header[8:])), Seq: littleEndian.Uint32(header[16:])}
	if size < batchHeaderSize {
		return Batch{}, fmt.Errorf("batch %d: frame length %d is less than its header", b.Seq, size)
	}
	body := int64(size) - batchHeaderSize
	if int64(records)*minRecordSize > body {
		return Batch{}, fmt.Errorf("batch %d: %d records cannot fit in %d bytes", b.Seq, records, body)
	}
	buf.Reset()
	if n, err := io.CopyN(buf, r, body); err != nil {
		return Batch{}, fmt.Errorf("batch %d: body cut off after %d of %d bytes: %w", b.Seq, n, body, err)
	}
	b.Body = buf.Bytes()
	return b, nil
}
