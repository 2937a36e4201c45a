// Package proto encodes and decodes Gearman's binary protocol and its administrative protocol. It
// is used by the dispatcher's front and by clients in tests.
//
// Source: the protocol's description in the documents of gearmand (PROTOCOL), "Binary Packet" and
// "Administrative Protocol". A Reader is not safe for concurrent use; the functions are.
package proto

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is the type of a packet.
type Type uint32

// The types. A request goes to the job server, a response comes from it.
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

// packetForm describes a type of packet.
type packetForm struct {
	name  string
	magic uint8 // who sends it: request, response or both
	args  int   // how many, separated by NUL; the last one may hold any bytes
}

// Who sends a type of packet.
const (
	request uint8 = 1 << iota
	response
)

var packetForms = map[Type]packetForm{
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

// String returns the packet's name in the protocol.
func (t Type) String() string {
	if f, ok := packetForms[t]; ok {
		return f.name
	}
	return fmt.Sprintf("packet %d", uint32(t))
}

const headerSize = 12

var magics = [...]string{request: "\x00REQ", response: "\x00RES"}

// Packet is one packet, or one line of the administrative protocol. Args are valid until the next
// packet is read.
type Packet struct {
	Type Type
	Args [][]byte
	Line string // of the administrative protocol; Type is 0 then
}

// Arg returns an argument, nil if there is none.
func (p *Packet) Arg(i int) []byte {
	if i < len(p.Args) {
		return p.Args[i]
	}
	return nil
}

// The errors after which a stream can't be read any further.
var (
	ErrMagic = errors.New("no packet begins there")
	ErrLarge = errors.New("the packet is too large")
	ErrType  = errors.New("the packet is of no known kind, or goes the other way")
	ErrArgs  = errors.New("the packet lacks arguments")
	ErrLine  = errors.New("the line is too long")
)

// maxLine bounds the bytes of a line of the administrative protocol.
const maxLine = 512

// Reader decodes a stream of packets.
type Reader struct {
	in        *bufio.Reader
	maxBytes  int
	direction uint8
	buf       []byte
	args      [][]byte
}

// NewReader returns a reader of what is sent to a job server; a packet's data may have at most
// maxBytes bytes. Memory for a packet grows as its data arrives, whatever size its header claims.
func NewReader(in io.Reader, maxBytes int) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 4<<10), maxBytes: maxBytes, direction: request}
}

// NewPeerReader returns a reader of what a job server sends.
func NewPeerReader(in io.Reader, maxBytes int) *Reader {
	r := NewReader(in, maxBytes)
	r.direction = response
	return r
}

// Next reads a packet or a line. It returns io.EOF only between packets, and io.ErrUnexpectedEOF
// inside one. After an error of this package nothing more can be read.
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
	kind, size := Type(binary.BigEndian.Uint32(header[4:])), binary.BigEndian.Uint32(header[8:])
	f, known := packetForms[kind]
	if !known || f.magic&r.direction == 0 {
		return Packet{}, fmt.Errorf("%w: %d", ErrType, uint32(kind))
	}
	if uint64(size) > uint64(r.maxBytes) {
		return Packet{}, fmt.Errorf("%w: %s of %d bytes", ErrLarge, kind, size)
	}
	_, _ = r.in.Discard(headerSize) // it was peeked
	if err := r.readData(int(size)); err != nil {
		return Packet{}, unexpectedEOF(err)
	}
	if err := r.splitArgs(f.args); err != nil {
		return Packet{}, fmt.Errorf("%w: %s", err, kind)
	}
	return Packet{Type: kind, Args: r.args}, nil
}

// splitArgs splits the data that was read last into count arguments. It returns ErrArgs if there are
// fewer.
func (r *Reader) splitArgs(count int) error {
	r.args = r.args[:0]
	rest := r.buf
	for i := range count {
		if i == count-1 {
			r.args = append(r.args, rest)
			break
		}
		arg, more, found := bytes.Cut(rest, []byte{0})
		if !found {
			return ErrArgs
		}
		r.args, rest = append(r.args, arg), more
	}
	return nil
}

// unexpectedEOF replaces io.EOF, which came inside a packet, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readData reads size bytes in chunks, so that a header that claims data which never arrives does
// not take memory.
func (r *Reader) readData(size int) error {
	const chunkSize = 32 << 10
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		n := min(size-len(r.buf), chunkSize)
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, n)...)
		if _, err := io.ReadFull(r.in, r.buf[at:]); err != nil {
			return err
		}
	}
	return nil
}

// readLine reads a line of the administrative protocol.
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
		if line = append(line, b); len(line) > maxLine {
			return Packet{}, ErrLine
		}
	}
}

// Append appends a packet, as a response if its type goes both ways. A NUL in any but the last
// argument would shift the others, so the argument ends there.
func Append(to []byte, kind Type, args ...[]byte) []byte {
	direction := request
	if packetForms[kind].magic&response != 0 {
		direction = response
	}
	return appendPacket(to, direction, kind, args)
}

// AppendRequest appends a packet as clients and workers send it.
func AppendRequest(to []byte, kind Type, args ...[]byte) []byte {
	return appendPacket(to, request, kind, args)
}

// appendPacket appends a packet in one direction.
func appendPacket(to []byte, direction uint8, kind Type, args [][]byte) []byte {
	to = append(to, magics[direction]...)
	to = binary.BigEndian.AppendUint32(to, uint32(kind))
	at := len(to)
	to = append(to, 0, 0, 0, 0)
	for i, arg := range args {
		if i < len(args)-1 {
			arg, _, _ = bytes.Cut(arg, []byte{0})
			to = append(append(to, arg...), 0)
			continue
		}
		to = append(to, arg...)
	}
	binary.BigEndian.PutUint32(to[at:], uint32(len(to)-at-4))
	return to
}
