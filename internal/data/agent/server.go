package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"frosttide/internal/nodefile"
	"frosttide/internal/process"
	"frosttide/internal/protocol"
)

const (
	// tickEvery is how often the state machines are told of the time.
	tickEvery = 50 * time.Millisecond
	// mostBeat bounds a heartbeat in bytes; runners list 500 ends at once.
	mostBeat = 4 << 20
	// probePause is the pause between looks at a silent runner, probeTime bounds one.
	probePause = 100 * time.Millisecond
	probeTime  = 300 * time.Millisecond
	// readTime bounds how long a heartbeat may take to come in.
	readTime = 3 * time.Second
)

// Server runs the companion as a process.
type Server struct {
	process *process.Process
	node    *Node
	app     string // where the runner listens
	probing bool
	probed  time.Duration // when the runner was last looked at
}

// Run runs the process until the context ends.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.ListenAddrs.Control == "" {
		return nodefile.Needs(path, "ListenAddrs.Control")
	}
	s := &Server{app: settings.App}
	p, err := process.New(path, settings, "companion", func(from string, e *protocol.Envelope) {
		s.node.Receive(s.process.Now(), from, e)
	})
	if err != nil {
		return err
	}
	defer p.Close()
	s.process = p
	s.node = NewNode(Config{Incarnation: p.Incarnation, HoldMax: nodefile.Milliseconds(settings.Bounds.HoldMaxMs), Contacts: settings.Contacts(), Seed: p.Incarnation}, p.Address, p.Now())
	l, err := net.Listen("tcp4", settings.ListenAddrs.Control)
	if err != nil {
		return errors.Wrap(err, "companion: the runner's address can't be listened on")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/instances/{id}", s.beat)
	mux.HandleFunc("DELETE /v1/instances/{id}", s.leave)
	server := &http.Server{Handler: mux, ReadTimeout: readTime}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "The runner's listener ends")
		}
	}()
	defer server.Close()
	p.Follow(ctx, func(changed *nodefile.File) { s.node.SetContacts(changed.Contacts()) })
	p.Loop(ctx, tickEvery, s.tick, s.after)
	return nil
}

func (s *Server) tick() { s.node.Tick(s.process.Now()) }

func (s *Server) after() {
	now := s.process.Now()
	for _, m := range s.node.Turn(now) {
		s.process.Send(m.To, m.Message)
	}
	s.probe(now)
}

// probe looks whether anybody listens at the address of a runner that has fallen silent.
func (s *Server) probe(now time.Duration) {
	if s.probing || s.app == "" || now-s.probed < probePause {
		return
	}
	id, doubtful := s.node.Machine.Doubtful(now)
	if !doubtful {
		return
	}
	s.probing, s.probed = true, now
	go func() {
		refused := refuses(s.app)
		s.process.Do(func() {
			s.probing = false
			s.node.Machine.Probed(s.process.Now(), id, refused)
		})
	}()
}

// refuses tells whether a connection to an address is refused at once.
func refuses(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, probeTime)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// beat answers a heartbeat.
func (s *Server) beat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBeat))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	b, err := parseBeat(r.PathValue("id"), body)
	if err != nil {
		klog.ErrorS(err, "A heartbeat can't be read")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := make(chan Answer, 1)
	s.process.Do(func() { answer <- s.node.Machine.Beat(s.process.Now(), b) })
	select {
	case a := <-answer:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(a.encode())
	case <-r.Context().Done():
	}
}

// leave takes a runner's leave.
func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	done := make(chan struct{})
	s.process.Do(func() {
		s.node.Machine.Leave(s.process.Now(), id)
		close(done)
	})
	<-done
	w.WriteHeader(http.StatusOK)
}

// ErrBeat marks every reason why a heartbeat can't be read.
var ErrBeat = errors.New("heartbeat")

func beatError(format string, args ...any) error {
	return errors.Mark(errors.Newf("heartbeat: "+format, args...), ErrBeat)
}

// parseBeat reads a heartbeat.
func parseBeat(id string, body []byte) (*Beat, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, beatError("the body can't be read: %v", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, beatError("the body is no object")
	}
	capacity := v.Get("Capacity")
	b := &Beat{Sequence: v.GetUint64("Sequence"), Account: &protocol.RunnerAccount{
		Id: id, Service: text(v, "Service"), Address: text(v, "Address"), Zone: text(v, "Zone"), Version: text(v, "Version"), Slots: v.GetInt64("Slots"),
		Draining: text(v, "State") == "draining", RemainingMs: v.GetInt64("RemainingMs"), ColdMs: v.GetInt64("ColdRemainingMs"),
		Capacity: &protocol.Capacity{Cpu: capacity.GetInt64("Cpu"), MemMb: capacity.GetInt64("MemMb"), Gpus: capacity.GetInt64("Gpus")},
	}}
	for _, l := range v.GetArray("Labels") {
		b.Account.Labels = append(b.Account.Labels, string(l.GetStringBytes()))
	}
	for _, entry := range v.GetArray("Running") {
		parts, err := entry.Array()
		if err != nil || len(parts) < 2 {
			return nil, beatError("Running: an entry is no list")
		}
		p := &protocol.RunProgress{Task: string(parts[0].GetStringBytes()), Run: uint32(parts[1].GetUint())}
		if len(parts) > 3 {
			p.Saved, p.Percent = string(parts[2].GetStringBytes()), uint32(parts[3].GetUint())
		}
		b.Running = append(b.Running, p)
	}
	for _, entry := range v.GetArray("Finished") {
		parts, err := entry.Array()
		if err != nil || len(parts) < 4 {
			return nil, beatError("Finished: an entry is no list")
		}
		e := &protocol.RunEnd{Number: parts[0].GetUint64(), Task: string(parts[1].GetStringBytes()), Run: uint32(parts[2].GetUint()), How: string(parts[3].GetStringBytes())}
		if len(parts) > 4 {
			e.Saved = string(parts[4].GetStringBytes())
		}
		b.Finished = append(b.Finished, e)
	}
	return b, nil
}

func text(v *fastjson.Value, name string) string {
	return strings.ToValidUTF8(string(v.GetStringBytes(name)), "?")
}

// encode returns the answer's body.
func (a *Answer) encode() []byte {
	out := make([]byte, 0, 256)
	out = append(out, `{"LastSeen":`...)
	out = strconv.AppendUint(out, a.LastSeen, 10)
	out = append(out, `,"FenceToken":`...)
	out = strconv.AppendUint(out, a.Fence, 10)
	out = append(out, `,"RetryMs":`...)
	out = strconv.AppendInt(out, a.Retry.Milliseconds(), 10)
	if a.Hold > 0 {
		out = append(out, `,"HoldMs":`...)
		out = strconv.AppendInt(out, a.Hold.Milliseconds(), 10)
	}
	var arena fastjson.Arena
	if len(a.Start) > 0 {
		out = append(out, `,"Start":[`...)
		for i, s := range a.Start {
			if i > 0 {
				out = append(out, ',')
			}
			out = append(out, '[')
			out = arena.NewString(s.GetTask()).MarshalTo(out)
			out = append(out, ',')
			out = strconv.AppendUint(out, uint64(s.GetRun()), 10)
			out = append(out, ',')
			out = arena.NewString(s.GetSpec()).MarshalTo(out)
			out = append(out, ',')
			out = arena.NewString(s.GetSaved()).MarshalTo(out)
			out = append(out, ']')
		}
		out = append(out, ']')
	}
	if len(a.Stop) > 0 {
		out = append(out, `,"Stop":[`...)
		for i, s := range a.Stop {
			if i > 0 {
				out = append(out, ',')
			}
			out = append(out, '[')
			out = arena.NewString(s.GetTask()).MarshalTo(out)
			out = append(out, ',')
			out = strconv.AppendUint(out, uint64(s.GetRun()), 10)
			out = append(out, ']')
		}
		out = append(out, ']')
	}
	return append(out, '}')
}
