// Package proto encodes and decodes Gearman's binary protocol and decodes the lines of its
// administrative protocol. The dispatcher's Gearman front uses it, and so do test clients and
// workers.
//
// Source: the file PROTOCOL of gearmand's documentation, "Binary Packet" and "Administrative
// Protocol". A Reader is not safe for concurrent use; the functions are.
package proto

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is the type of a packet, as its header has it.
type Type uint32

// The packet types of the protocol. Requests are sent to the job server, responses by it. Types
// such as WorkStatus are both.
const (
	CanDo             Type = 1
	CantDo            Type = 2
	ResetAbilities    Type = 3
	PreSleep          Type = 4
	Noop              Type = 6
	SubmitJob         Type = 7
	JobCreated        Type = 8
	GrabJob           Type = 9
	NoJob             Type = 10
	JobAssign         Type = 11
	WorkStatus        Type = 12
	WorkComplete      Type = 13
	WorkFail          Type = 14
	GetStatus         Type = 15
	EchoReq           Type = 16
	EchoRes           Type = 17
	SubmitJobBg       Type = 18
	Error             Type = 19
	StatusRes         Type = 20
	SubmitJobHigh     Type = 21
	SetClientID       Type = 22
	CanDoTimeout      Type = 23
	AllYours          Type = 24
	WorkException     Type = 25
	OptionReq         Type = 26
	OptionRes         Type = 27
	WorkData          Type = 28
	WorkWarning       Type = 29
	GrabJobUniq       Type = 30
	JobAssignUniq     Type = 31
	SubmitJobHighBg   Type = 32
	SubmitJobLow      Type = 33
	SubmitJobLowBg    Type = 34
	SubmitJobSched    Type = 35
	SubmitJobEpoch    Type = 36
	SubmitReduceJob   Type = 37
	SubmitReduceJobBg Type = 38
	GrabJobAll        Type = 39
	JobAssignAll      Type = 40
	GetStatusUnique   Type = 41
	StatusResUnique   Type = 42
)

// packetSpec describes a packet type.
type packetSpec struct {
	name       string
	directions uint8 // request, response or both
	args       int   // number of arguments, separated by NUL; the last may contain NUL
}

// The directions of packets.
const (
	request  uint8 = 1 << iota // to the job server
	response                   // from the job server
)

var packetSpecs = map[Type]packetSpec{
	CanDo: {"CAN_DO", request, 1}, CantDo: {"CANT_DO", request, 1}, ResetAbilities: {"RESET_ABILITIES", request, 0},
	PreSleep: {"PRE_SLEEP", request, 0}, Noop: {"NOOP", response, 0}, SubmitJob: {"SUBMIT_JOB", request, 3},
	JobCreated: {"JOB_CREATED", response, 1}, GrabJob: {"GRAB_JOB", request, 0}, NoJob: {"NO_JOB", response, 0},
	JobAssign: {"JOB_ASSIGN", response, 3}, WorkStatus: {"WORK_STATUS", request | response, 3},
	WorkComplete: {"WORK_COMPLETE", request | response, 2}, WorkFail: {"WORK_FAIL", request | response, 1},
	GetStatus: {"GET_STATUS", request, 1}, EchoReq: {"ECHO_REQ", request, 1}, EchoRes: {"ECHO_RES", response, 1},
	SubmitJobBg: {"SUBMIT_JOB_BG", request, 3}, Error: {"ERROR", response, 2}, StatusRes: {"STATUS_RES", response, 5},
	SubmitJobHigh: {"SUBMIT_JOB_HIGH", request, 3}, SetClientID: {"SET_CLIENT_ID", request, 1},
	CanDoTimeout: {"CAN_DO_TIMEOUT", request, 2}, AllYours: {"ALL_YOURS", request, 0},
	WorkException: {"WORK_EXCEPTION", request | response, 2}, OptionReq: {"OPTION_REQ", request, 1},
	OptionRes: {"OPTION_RES", response, 1}, WorkData: {"WORK_DATA", request | response, 2},
	WorkWarning: {"WORK_WARNING", request | response, 2}, GrabJobUniq: {"GRAB_JOB_UNIQ", request, 0},
	JobAssignUniq: {"JOB_ASSIGN_UNIQ", response, 4}, SubmitJobHighBg: {"SUBMIT_JOB_HIGH_BG", request, 3},
	SubmitJobLow: {"SUBMIT_JOB_LOW", request, 3}, SubmitJobLowBg: {"SUBMIT_JOB_LOW_BG", request, 3},
	SubmitJobSched: {"SUBMIT_JOB_SCHED", request, 8}, SubmitJobEpoch: {"SUBMIT_JOB_EPOCH", request, 4},
	SubmitReduceJob: {"SUBMIT_REDUCE_JOB", request, 4}, SubmitReduceJobBg: {"SUBMIT_REDUCE_JOB_BACKGROUND", request, 4},
	GrabJobAll: {"GRAB_JOB_ALL", request, 0}, JobAssignAll: {"JOB_ASSIGN_ALL", response, 5},
	GetStatusUnique: {"GET_STATUS_UNIQUE", request, 1}, StatusResUnique: {"STATUS_RES_UNIQUE", response, 6},
}

// String returns the name of the type in the protocol, such as "SUBMIT_JOB".
func (t Type) String() string {
	if spec, ok := packetSpecs[t]; ok {
		return spec.name
	}
	return fmt.Sprintf("packet %d", uint32(t))
}

const headerSize = 12

var magics = [...]string{request: "\x00REQ", response: "\x00RES"}

// Packet is one packet, or one line of the administrative protocol. Args are valid until the next
// call of Reader.Next.
type Packet struct {
	Type Type
	Args [][]byte
	Line string // line of the administrative protocol, without its end; Type is 0 then
}

// Arg returns argument i, counted from 0, or nil if the packet has fewer arguments.
func (p *Packet) Arg(i int) []byte {
	if i < len(p.Args) {
		return p.Args[i]
	}
	return nil
}

// The errors of Reader.Next after which the stream can't be read any further.
var (
	ErrMagic = errors.New("invalid packet magic")
	ErrLarge = errors.New("packet exceeds the size limit")
	ErrType  = errors.New("packet type is unknown or not allowed in this direction")
	ErrArgs  = errors.New("packet has too few arguments")
	ErrLine  = errors.New("line exceeds the length limit")
)

// maxLineBytes limits a line of the administrative protocol, without its line feed.
const maxLineBytes = 512

// Reader decodes a stream of packets and of lines of the administrative protocol. Create it with
// NewReader or NewPeerReader.
type Reader struct {
	in        *bufio.Reader
	maxBytes  int
	direction uint8
	buf       []byte
	args      [][]byte
}

// NewReader returns a reader of the packets and lines that are sent to a job server. The data of a
// packet may have at most maxBytes bytes. Memory for a packet is allocated as its data arrives, not
// by the size in its header.
func NewReader(in io.Reader, maxBytes int) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 4<<10), maxBytes: maxBytes, direction: request}
}

// NewPeerReader returns a reader of the packets that a job server sends, for a client or worker. It
// does not read lines of the administrative protocol.
func NewPeerReader(in io.Reader, maxBytes int) *Reader {
	r := NewReader(in, maxBytes)
	r.direction = response
	return r
}

// Next reads a packet or a line. At the end of the stream it returns io.EOF between packets and
// io.ErrUnexpectedEOF inside one. An error that wraps one of this package's leaves the stream
// unreadable.
func (r *Reader) Next() (Packet, error) {
	first, err := r.in.Peek(1)
	if err != nil {
		return Packet{}, err
	}
	if first[0] != 0 && r.direction == request {
		return r.readLine()
	}
	header, err := r.in.Peek(headerSize)
	if err != nil {
		return Packet{}, unexpectedEOF(err)
	}
	if string(header[:4]) != magics[r.direction] {
		return Packet{}, ErrMagic
	}
	packetType, size := Type(binary.BigEndian.Uint32(header[4:])), binary.BigEndian.Uint32(header[8:])
	spec, known := packetSpecs[packetType]
	if !known || spec.directions&r.direction == 0 {
		return Packet{}, fmt.Errorf("%w: %d", ErrType, uint32(packetType))
	}
	if uint64(size) > uint64(r.maxBytes) {
		return Packet{}, fmt.Errorf("%w: %s of %d bytes", ErrLarge, packetType, size)
	}
	_, _ = r.in.Discard(headerSize) // can't fail after Peek
	if err := r.readData(int(size)); err != nil {
		return Packet{}, unexpectedEOF(err)
	}
	if err := r.splitArgs(spec.args); err != nil {
		return Packet{}, fmt.Errorf("%w: %s", err, packetType)
	}
	return Packet{Type: packetType, Args: r.args}, nil
}

// splitArgs splits the data of the current packet into count arguments and stores them in r.args.
// It returns ErrArgs if there are fewer.
func (r *Reader) splitArgs(count int) error {
	r.args = r.args[:0]
	remaining := r.buf
	for i := range count {
		if i == count-1 {
			r.args = append(r.args, remaining)
			break
		}
		arg, after, found := bytes.Cut(remaining, []byte{0})
		if !found {
			return ErrArgs
		}
		r.args, remaining = append(r.args, arg), after
	}
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and any other error as it is. It is for
// errors inside a packet or line.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readData reads size bytes into r.buf, in chunks, so that a header which announces data that never
// arrives does not make the reader allocate that much memory.
func (r *Reader) readData(size int) error {
	const chunkSize = 32 << 10
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		n := min(size-len(r.buf), chunkSize)
		start := len(r.buf)
		r.buf = append(r.buf, make([]byte, n)...)
		if _, err := io.ReadFull(r.in, r.buf[start:]); err != nil {
			return err
		}
	}
	return nil
}

// readLine reads a line of the administrative protocol. It removes the line feed and a carriage
// return before it.
func (r *Reader) readLine() (Packet, error) {
	var line []byte
	for {
		b, err := r.in.ReadByte()
		if err != nil {
			return Packet{}, unexpectedEOF(err)
		}
		if b == '\n' {
			return Packet{Line: string(bytes.TrimSuffix(line, []byte{'\r'}))}, nil
		}
		if line = append(line, b); len(line) > maxLineBytes {
			return Packet{}, ErrLine
		}
	}
}

// Append appends a packet to a buffer and returns the buffer, as append does. It uses the magic of
// responses if the type can be one. An argument other than the last is cut at its first NUL, which
// would otherwise separate arguments.
func Append(buf []byte, packetType Type, args ...[]byte) []byte {
	direction := request
	if packetSpecs[packetType].directions&response != 0 {
		direction = response
	}
	return appendPacket(buf, direction, packetType, args)
}

// AppendRequest is like Append for packets that clients and workers send: it uses the magic of
// requests.
func AppendRequest(buf []byte, packetType Type, args ...[]byte) []byte {
	return appendPacket(buf, request, packetType, args)
}

// appendPacket appends a packet with the magic of a direction.
func appendPacket(buf []byte, direction uint8, packetType Type, args [][]byte) []byte {
	buf = append(buf, magics[direction]...)
	buf = binary.BigEndian.AppendUint32(buf, uint32(packetType))
	sizeOffset := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	for i, arg := range args {
		if i < len(args)-1 {
			arg, _, _ = bytes.Cut(arg, []byte{0})
			buf = append(append(buf, arg...), 0)
			continue
		}
		buf = append(buf, arg...)
	}
	binary.BigEndian.PutUint32(buf[sizeOffset:], uint32(len(buf)-sizeOffset-4))
	return buf
}
