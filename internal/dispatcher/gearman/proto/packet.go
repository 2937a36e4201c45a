// Package proto reads and writes Gearman's binary protocol and its administrative one.
// It holds no state beyond what a stream needs.
//
// Source: the protocol's description in the documents of gearmand (PROTOCOL), "Binary
// Packet" and "Administrative Protocol".
package proto

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Type is the kind of a packet.
type Type uint32

// The kinds. A request goes to the job server, a response comes from it.
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

// form says what a kind of packet is.
type form struct {
	name  string
	magic uint8 // who sends it
	args  int   // parts between NUL bytes; the last one may hold any bytes
}

// Who sends a kind of packet.
const (
	request uint8 = 1 << iota
	response
)

var forms = map[Type]form{
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
	if f, ok := forms[t]; ok {
		return f.name
	}
	return fmt.Sprintf("packet %d", uint32(t))
}

const headerSize = 12

var magics = [...]string{request: "\x00REQ", response: "\x00RES"}

// Packet is one packet, or a line of the administrative protocol. Args are valid until
// the next one is read.
type Packet struct {
	Type Type
	Args [][]byte
	Line string // of the administrative protocol; Type is 0
}

// Arg returns an argument, nil if there is none.
func (p *Packet) Arg(i int) []byte {
	if i < len(p.Args) {
		return p.Args[i]
	}
	return nil
}

// The reasons for which a stream can't be read any further.
var (
	ErrMagic = errors.New("no packet begins there")
	ErrLarge = errors.New("the packet is too large")
	ErrType  = errors.New("the packet is of no known kind, or goes the other way")
	ErrArgs  = errors.New("the packet lacks arguments")
	ErrLine  = errors.New("the line is too long")
)

// maxLine bounds a line of the administrative protocol.
const maxLine = 512

// Reader reads a stream of packets.
type Reader struct {
	in   *bufio.Reader
	most int
	from uint8
	buf  []byte
	args [][]byte
}

// NewReader reads what comes to a job server; no packet's data may be larger than most
// bytes. Memory for a packet grows as its data comes, never by its header's word.
func NewReader(in io.Reader, most int) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 4<<10), most: most, from: request}
}

// NewPeerReader reads what comes from a job server.
func NewPeerReader(in io.Reader, most int) *Reader {
	r := NewReader(in, most)
	r.from = response
	return r
}

// Next reads a packet or a line. After an error of this package nothing more can be read;
// io.EOF comes between packets only.
func (r *Reader) Next() (Packet, error) {
	first, err := r.in.Peek(1)
	if err != nil {
		return Packet{}, err
	}
	if first[0] != 0 && r.from == request {
		return r.line()
	}
	header, err := r.in.Peek(headerSize)
	if err != nil {
		return Packet{}, cut(err)
	}
	if string(header[:4]) != magics[r.from] {
		return Packet{}, ErrMagic
	}
	kind, size := Type(binary.BigEndian.Uint32(header[4:])), binary.BigEndian.Uint32(header[8:])
	f, known := forms[kind]
	if !known || f.magic&r.from == 0 {
		return Packet{}, fmt.Errorf("%w: %d", ErrType, uint32(kind))
	}
	if uint64(size) > uint64(r.most) {
		return Packet{}, fmt.Errorf("%w: %s of %d bytes", ErrLarge, kind, size)
	}
	_, _ = r.in.Discard(headerSize) // it was peeked
	if err := r.data(int(size)); err != nil {
		return Packet{}, cut(err)
	}
	r.args = r.args[:0]
	rest := r.buf
	for i := range f.args {
		if i == f.args-1 {
			r.args = append(r.args, rest)
			break
		}
		arg, more, found := bytes.Cut(rest, []byte{0})
		if !found {
			return Packet{}, fmt.Errorf("%w: %s", ErrArgs, kind)
		}
		r.args, rest = append(r.args, arg), more
	}
	return Packet{Type: kind, Args: r.args}, nil
}

// cut names an end in the middle of a packet.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// data reads so many bytes. Guards memory: a header may claim what never comes.
func (r *Reader) data(size int) error {
	const step = 32 << 10
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		n := min(size-len(r.buf), step)
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, n)...)
		if _, err := io.ReadFull(r.in, r.buf[at:]); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) line() (Packet, error) {
	var line []byte
	for {
		b, err := r.in.ReadByte()
		if err != nil {
			return Packet{}, cut(err)
		}
		if b == '\n' {
			return Packet{Line: string(bytes.TrimSuffix(line, []byte{'\r'}))}, nil
		}
		if line = append(line, b); len(line) > maxLine {
			return Packet{}, ErrLine
		}
	}
}

// Append writes a packet behind what there is. Kinds that go both ways are written as
// responses. Guards the packet's form: a NUL in any but its last argument would move the
// others, so what follows it is left out.
func Append(to []byte, kind Type, args ...[]byte) []byte {
	side := request
	if forms[kind].magic&response != 0 {
		side = response
	}
	return appendAs(to, side, kind, args)
}

// AppendRequest writes a packet as clients and workers do.
func AppendRequest(to []byte, kind Type, args ...[]byte) []byte {
	return appendAs(to, request, kind, args)
}

func appendAs(to []byte, side uint8, kind Type, args [][]byte) []byte {
	to = append(to, magics[side]...)
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
