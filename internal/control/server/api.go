package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/member"
	"frosttide/internal/httpserver"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

const (
	// responseTimeout bounds the time that a call waits for a reply of the control plane. It is
	// shorter than the second after which callers try another core machine.
	responseTimeout = 900 * time.Millisecond
	// maxBodyBytes bounds the body of a call, which is a configuration or a patch of one.
	maxBodyBytes = 16 << 20
	// readTimeout bounds the time for reading a request with its body.
	readTimeout = 10 * time.Second
	// retryAfterSeconds is the value of Retry-After if the control plane does not reply in time.
	retryAfterSeconds = "1"
)

// serveAPI starts to serve the operator's API on address. The caller closes the returned listener.
func (s *Server) serveAPI(address string) (*httpserver.Listener, error) {
	listener, err := httpserver.Listen(address, &http.Server{Handler: s.apiHandler(), ReadTimeout: readTimeout})
	return listener, errors.Wrap(err, "control: listen on the operator API address")
}

// apiHandler returns the handler of all paths of the operator's API.
func (s *Server) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", s.getConfig)
	mux.HandleFunc("PUT /v1/config", s.changeConfig(routeconfig.Document))
	mux.HandleFunc("PATCH /v1/config", s.changeConfig(routeconfig.Patch))
	mux.HandleFunc("GET /v1/config/history", s.getPlacement(member.TopicHistory))
	mux.HandleFunc("GET /v1/status", s.getMemberStatus)
	mux.HandleFunc("GET /v1/scheduler", s.getPlacement(""))
	mux.HandleFunc("GET /v1/jobs", s.getPlacement(member.TopicJobs))
	mux.HandleFunc("GET /v1/jobs/{id}", s.getPlacement(member.TopicJob))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancelJob)
	return mux
}

// getConfig responds with the newest configuration, which it reads at the tail of the chain.
func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}, chainclient.ToTail)
}

// changeConfig returns the handler that replaces the configuration or, if patch is true, patches
// it. The If-Match header of the request holds the version that the change is based on.
func (s *Server) changeConfig(patch bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
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
		order := &protocol.ConfigOrder{Patch: patch, IfMatch: ifMatch, Body: body}
		s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: order}}, chainclient.ToHead)
	}
}

// getPlacement returns the handler that reads one topic of the placement role's state. The request
// goes to the head, which runs the placement role, whichever member that is.
func (s *Server) getPlacement(topic string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, ok := httpserver.PathText(w, r, "id")
		if !ok {
			return
		}
		read := &protocol.ReadStatus{What: topic, Id: id}
		s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadStatus{ReadStatus: read}}, chainclient.ToHead)
	}
}

// cancelJob cancels the job with the ID in the path, in whichever queue it is.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	if id, ok := httpserver.PathText(w, r, "id"); ok {
		s.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id}}}, chainclient.ToHead)
	}
}

// getMemberStatus responds with the status of this member, without asking other members.
func (s *Server) getMemberStatus(w http.ResponseWriter, r *http.Request) {
	result := make(chan any, 1)
	s.process.Post(func() { result <- s.member.Replica().Status() })
	select {
	case status := <-result:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status) // fails only if the client has disconnected
	case <-r.Context().Done():
	}
}

// respond sends a request to the control plane and responds with its reply. If there is no reply in
// time, it responds with status 503 and Retry-After; a change may or may not have been made then.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, request *protocol.ClientRequest, destination chainclient.Destination) {
	outcome, ok := s.do(r.Context(), request, destination)
	switch {
	case !ok: // the client has disconnected
	case outcome.Reply == nil:
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "the control plane does not answer", http.StatusServiceUnavailable)
	default:
		reply := outcome.Reply
		if len(reply.GetBody()) > 0 && reply.GetStatus() == http.StatusOK {
			w.Header().Set("Content-Type", "application/json")
		}
		w.WriteHeader(int(reply.GetStatus()))
		_, _ = w.Write(reply.GetBody()) // fails only if the client has disconnected
	}
}

// do sends a request to the control plane and waits for the outcome, which is without a reply after
// responseTimeout. It returns false if the context ends first.
func (s *Server) do(ctx context.Context, r *protocol.ClientRequest, destination chainclient.Destination) (chainclient.Outcome, bool) {
	result := make(chan chainclient.Outcome, 1)
	s.process.Post(func() {
		s.pending[s.member.Do(s.process.Now(), r, destination, responseTimeout)] = result
	})
	select {
	case outcome := <-result:
		return outcome, true
	case <-ctx.Done():
		return chainclient.Outcome{}, false
	}
}
