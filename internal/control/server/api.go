package server

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/member"
	"frosttide/internal/protocol"
)

const (
	// responseTimeout is how long a caller of the API waits at the most; callers go elsewhere after a second.
	responseTimeout = 900 * time.Millisecond
	// maxBodyBytes bounds a configuration in bytes.
	maxBodyBytes = 16 << 20
	// readTimeout bounds how long a call may take to come in.
	readTimeout = 10 * time.Second
)

// serveAPI serves the operator's API.
func (s *Server) serveAPI(address string) (stop func(), err error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "control: the operator's address can't be listened on")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", s.getConfig)
	mux.HandleFunc("PUT /v1/config", func(w http.ResponseWriter, r *http.Request) { s.changeConfig(w, r, false) })
	mux.HandleFunc("PATCH /v1/config", func(w http.ResponseWriter, r *http.Request) { s.changeConfig(w, r, true) })
	mux.HandleFunc("GET /v1/status", s.getMemberStatus)
	mux.HandleFunc("GET /v1/scheduler", s.readStatus("", ""))
	mux.HandleFunc("GET /v1/jobs", s.readStatus(member.TopicJobs, ""))
	mux.HandleFunc("GET /v1/jobs/{id}", s.readStatus(member.TopicJob, "id"))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancelJob)
	mux.HandleFunc("GET /v1/config/history", s.readStatus(member.TopicHistory, ""))
	server := &http.Server{Handler: mux, ReadTimeout: readTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "The operator's API ends")
		}
	}()
	return func() { server.Close() }, nil
}

// do has the control plane answer a request.
func (s *Server) do(ctx context.Context, r *protocol.ClientRequest, read bool) (chainclient.Outcome, bool) {
	result := make(chan chainclient.Outcome, 1)
	s.process.Post(func() {
		s.pending[s.member.Do(s.process.Now(), r, read, responseTimeout)] = result
	})
	select {
	case o := <-result:
		return o, true
	case <-ctx.Done():
		return chainclient.Outcome{}, false
	}
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}, true)
}

func (s *Server) changeConfig(w http.ResponseWriter, r *http.Request, patch bool) {
	ifMatch, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: it holds no version", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: patch, IfMatch: ifMatch, Body: body}}}, false)
}

// respond answers a call with what the control plane says. Without its answer the caller is told to ask
// again; an order may or may not have been taken then.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, request *protocol.ClientRequest, read bool) {
	o, ok := s.do(r.Context(), request, read)
	switch {
	case !ok:
	case o.Reply == nil:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the control plane does not answer", http.StatusServiceUnavailable)
	default:
		if len(o.Reply.GetBody()) > 0 && o.Reply.GetStatus() == http.StatusOK {
			w.Header().Set("Content-Type", "application/json")
		}
		w.WriteHeader(int(o.Reply.GetStatus()))
		_, _ = w.Write(o.Reply.GetBody())
	}
}

// readStatus answers with a part of the state of the placement role, wherever that is. It may be of entries that
// are not committed: it is for operators' eyes.
func (s *Server) readStatus(topic, pathValue string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		read := &protocol.ReadStatus{What: topic}
		if pathValue != "" {
			read.Id = r.PathValue(pathValue)
		}
		s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadStatus{ReadStatus: read}}, false)
	}
}

// cancelJob cancels a job at an operator's wish.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: r.PathValue("id")}}}, false)
}

// getMemberStatus answers with the state of this member.
func (s *Server) getMemberStatus(w http.ResponseWriter, r *http.Request) {
	result := make(chan any, 1)
	s.process.Post(func() { result <- s.member.Replica().Status() })
	select {
	case status := <-result:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status)
	case <-r.Context().Done():
	}
}
