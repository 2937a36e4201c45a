package wire

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// errTruncated is the error of a record that is longer than the rest of its frame.
var errTruncated = errors.New("the frame ends inside it")

// cursor reads little-endian fields. Reading past the end sets truncated and yields zeros, so that a record is checked
// once, at its end.
type cursor struct {
	data      []byte
	offset    int
	truncated bool
}

// take returns the next n bytes; past the end, at most eight zeros.
func (c *cursor) take(n int) []byte {
	if n > len(c.data)-c.offset {
		c.truncated = true
		return zeros[:min(n, len(zeros))]
	}
	c.offset += n
	return c.data[c.offset-n : c.offset]
}

// block reads a 32-bit count and returns the bytes of that many items of the given size; nil past the end.
func (c *cursor) block(size int) []byte {
	n := int64(c.u32())
	if n*int64(size) > int64(len(c.data)-c.offset) {
		c.truncated = true
		return nil
	}
	return c.take(int(n) * size)
}

// zeros is what fields read past the end.
var zeros [8]byte

func (c *cursor) u8() uint8    { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }

// fromMicros returns the Duration of unsigned microseconds, the largest whole number of them where it does not hold
// them.
func fromMicros(us uint64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(us, uint64(limit))) * time.Microsecond
}
