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
	// tickInterval is how often the state machines are told of the time.
	tickInterval = 50 * time.Millisecond
	// maxHeartbeatBytes bounds a heartbeat in bytes; runners list 500 ends at once.
	maxHeartbeatBytes = 4 << 20
	// healthCheckInterval is the pause between looks at a silent runner, probeTime bounds one.
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = 300 * time.Millisecond
	// readTimeout bounds how long a heartbeat may take to come in.
	readTimeout = 3 * time.Second
)

// Server runs the companion as a process.
type Server struct {
	process       *process.Process
	node          *Node
	runnerAddress string // where the runner listens
	checking      bool
	lastCheck     time.Duration // when the runner was last looked at
}

// Run runs the process until the context ends.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.ListenAddrs.Control == "" {
		return nodefile.MissingKey(path, "ListenAddrs.Control")
	}
	s := &Server{runnerAddress: settings.App}
	p, err := process.New(path, settings, "companion", func(from string, e *protocol.Envelope) {
		s.node.Receive(s.process.Now(), from, e)
	})
	if err != nil {
		return err
	}
	defer p.Close()
	s.process = p
	s.node = NewNode(Config{Incarnation: p.Incarnation, MaxRunLease: nodefile.Milliseconds(settings.Bounds.HoldMaxMs), Contacts: settings.Contacts(), Seed: p.Incarnation}, p.Address, p.Now())
	l, err := net.Listen("tcp4", settings.ListenAddrs.Control)
	if err != nil {
		return errors.Wrap(err, "companion: the runner's address can't be listened on")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/instances/{id}", s.handleHeartbeat)
	mux.HandleFunc("DELETE /v1/instances/{id}", s.handleDeregister)
	server := &http.Server{Handler: mux, ReadTimeout: readTimeout}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "The runner's listener ends")
		}
	}()
	defer server.Close()
	p.WatchSettings(ctx, func(changed *nodefile.File) { s.node.SetContacts(changed.Contacts()) })
	p.Run(ctx, tickInterval, s.tick, s.afterTurn)
	return nil
}

func (s *Server) tick() { s.node.Tick(s.process.Now()) }

func (s *Server) afterTurn() {
	now := s.process.Now()
	for _, m := range s.node.Turn(now) {
		s.process.Send(m.To, m.Message)
	}
	s.checkRunner(now)
}

// checkRunner looks whether anybody listens at the address of a runner that has fallen silent.
func (s *Server) checkRunner(now time.Duration) {
	if s.checking || s.runnerAddress == "" || now-s.lastCheck < healthCheckInterval {
		return
	}
	id, doubtful := s.node.Machine.NextHealthCheck(now)
	if !doubtful {
		return
	}
	s.checking, s.lastCheck = true, now
	go func() {
		refused := refusesConnections(s.runnerAddress)
		s.process.Post(func() {
			s.checking = false
			s.node.Machine.HealthCheckDone(s.process.Now(), id, refused)
		})
	}()
}

// refusesConnections tells whether a connection to an address is refused at once.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, healthCheckTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// handleHeartbeat answers a heartbeat.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	b, err := parseHeartbeat(r.PathValue("id"), body)
	if err != nil {
		klog.ErrorS(err, "A heartbeat can't be read")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response := make(chan HeartbeatResponse, 1)
	s.process.Post(func() { response <- s.node.Machine.HandleHeartbeat(s.process.Now(), b) })
	select {
	case a := <-response:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(a.encode())
	case <-r.Context().Done():
	}
}

// handleDeregister takes a runner's leave.
func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	done := make(chan struct{})
	s.process.Post(func() {
		s.node.Machine.Deregister(s.process.Now(), id)
		close(done)
	})
	<-done
	w.WriteHeader(http.StatusOK)
}

// ErrHeartbeat marks every reason why a heartbeat can't be read.
var ErrHeartbeat = errors.New("heartbeat")

func heartbeatError(format string, args ...any) error {
	return errors.Mark(errors.Newf("heartbeat: "+format, args...), ErrHeartbeat)
}

// parseHeartbeat reads a heartbeat.
func parseHeartbeat(id string, body []byte) (*Heartbeat, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, heartbeatError("the body can't be read: %v", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, heartbeatError("the body is no object")
	}
	capacity := v.Get("Capacity")
	b := &Heartbeat{Sequence: v.GetUint64("Sequence"), Account: &protocol.RunnerAccount{
		Id: id, Service: stringField(v, "Service"), Address: stringField(v, "Address"), Zone: stringField(v, "Zone"), Version: stringField(v, "Version"), Slots: v.GetInt64("Slots"),
		Draining: stringField(v, "State") == "draining", RemainingMs: v.GetInt64("RemainingMs"), ColdMs: v.GetInt64("ColdRemainingMs"),
		Capacity: &protocol.Capacity{Cpu: capacity.GetInt64("Cpu"), MemMb: capacity.GetInt64("MemMb"), Gpus: capacity.GetInt64("Gpus")},
	}}
	for _, l := range v.GetArray("Labels") {
		b.Account.Labels = append(b.Account.Labels, string(l.GetStringBytes()))
	}
	for _, entry := range v.GetArray("Running") {
		fields, err := entry.Array()
		if err != nil || len(fields) < 2 {
			return nil, heartbeatError("Running: an entry is no list")
		}
		p := &protocol.RunProgress{Task: string(fields[0].GetStringBytes()), Run: uint32(fields[1].GetUint())}
		if len(fields) > 3 {
			p.Saved, p.Percent = string(fields[2].GetStringBytes()), uint32(fields[3].GetUint())
		}
		b.Running = append(b.Running, p)
	}
	for _, entry := range v.GetArray("Finished") {
		fields, err := entry.Array()
		if err != nil || len(fields) < 4 {
			return nil, heartbeatError("Finished: an entry is no list")
		}
		e := &protocol.RunEnd{Number: fields[0].GetUint64(), Task: string(fields[1].GetStringBytes()), Run: uint32(fields[2].GetUint()), How: string(fields[3].GetStringBytes())}
		if len(fields) > 4 {
			e.Saved = string(fields[4].GetStringBytes())
		}
		b.Finished = append(b.Finished, e)
	}
	return b, nil
}

func stringField(v *fastjson.Value, name string) string {
	return strings.ToValidUTF8(string(v.GetStringBytes(name)), "?")
}

// encode returns the answer's body.
func (a *HeartbeatResponse) encode() []byte {
	out := make([]byte, 0, 256)
	out = append(out, `{"LastSeen":`...)
	out = strconv.AppendUint(out, a.Acknowledged, 10)
	out = append(out, `,"FenceToken":`...)
	out = strconv.AppendUint(out, a.FencingToken, 10)
	out = append(out, `,"RetryMs":`...)
	out = strconv.AppendInt(out, a.HeartbeatInterval.Milliseconds(), 10)
	if a.RunLease > 0 {
		out = append(out, `,"HoldMs":`...)
		out = strconv.AppendInt(out, a.RunLease.Milliseconds(), 10)
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
