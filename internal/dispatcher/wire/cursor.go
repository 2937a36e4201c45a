package wire

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// errTruncated is the error for a record that is longer than the rest of its frame.
var errTruncated = errors.New("the frame ends inside the record")

// cursor reads little-endian fields. Reading past the end sets truncated and returns zeros, so that
// a decoder needs to check for truncation only once per record.
type cursor struct {
	data      []byte
	offset    int
	truncated bool
}

// next returns the next n bytes. Past the end it sets truncated and returns at most eight zeros,
// which is the size of the largest field.
func (c *cursor) next(n int) []byte {
	if n > len(c.data)-c.offset {
		c.truncated = true
		return zeros[:min(n, len(zeros))]
	}
	c.offset += n
	return c.data[c.offset-n : c.offset]
}

// countedItems reads a 32-bit count and returns the bytes of that many items of size bytes each. It
// sets truncated and returns nil if the data ends earlier.
func (c *cursor) countedItems(size int) []byte {
	n := int64(c.u32())
	if n*int64(size) > int64(len(c.data)-c.offset) {
		c.truncated = true
		return nil
	}
	return c.next(int(n) * size)
}

// zeros is the value of fields that are read past the end.
var zeros [8]byte

func (c *cursor) u8() uint8    { return c.next(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.next(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.next(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.next(8)) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }

// fromMicros converts unsigned microseconds to a Duration. Larger values become the largest number
// of whole microseconds that a Duration can hold.
func fromMicros(us uint64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(us, uint64(limit))) * time.Microsecond
}
