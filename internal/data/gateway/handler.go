package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/httpserver"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

const (
	// defaultTimeout limits how long a request may take if neither the client nor the route sets a
	// limit.
	defaultTimeout = 3 * time.Second
	// responseMargin is the part of the client's timeout that is reserved for sending the response.
	responseMargin = 60 * time.Millisecond
	// defaultMaxBodyBytes limits the size of a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 256 << 10
	// maxJobBytes is what a job may take in messages and records, whatever the configuration says.
	maxJobBytes = 16 << 20
	// retryAfterSeconds is the Retry-After header of requests that were certainly not executed or
	// are read-only.
	retryAfterSeconds = "1"
)

// serveClient routes a client's request to its queue and answers it.
func (f *frontend) serveClient(w http.ResponseWriter, r *http.Request) {
	table := f.table.Load()
	if table.Version == 0 {
		reject(w, "there is no configuration yet")
		return
	}
	route := table.Match(r.Host, r.URL.Path)
	if route == nil {
		http.Error(w, "there is no such queue", http.StatusNotFound)
		return
	}
	id := strings.TrimPrefix(r.URL.Path, route.PathPrefix)
	if !httpserver.CheckPath(w, id) {
		return
	}
	timeout := requestTimeout(r, route)
	switch {
	case r.Method == http.MethodGet && id == "":
		f.respond(w, r, call{request: readPending(route.Name), destination: chainclient.ToTail, timeout: timeout})
	case r.Method == http.MethodGet:
		f.respond(w, r, call{request: readState(route.Name, id), destination: chainclient.ToTail, timeout: timeout})
	case r.Method == http.MethodDelete && id != "":
		f.respond(w, r, call{request: cancelJob(route.Name, id), timeout: timeout})
	case r.Method == http.MethodPost && id != "":
		submit, ok := readSubmit(w, r, maxBodyBytes(table))
		if !ok {
			return
		}
		submit.Id, submit.Queue = id, route.Name
		f.respond(w, r, call{request: submitJob(submit), timeout: timeout})
	default:
		http.Error(w, "the method is not served here", http.StatusMethodNotAllowed)
	}
}

// readPending returns the request for the number of pending jobs of a queue.
func readPending(queue string) *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadPending{ReadPending: &protocol.ReadPending{Queue: queue}}}
}

// readState returns the request for the state of a job.
func readState(queue, id string) *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadState{ReadState: &protocol.ReadState{Id: id, Queue: queue}}}
}

// cancelJob returns the request that cancels a job.
func cancelJob(queue, id string) *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id, Queue: queue}}}
}

// submitJob returns the request that submits a job.
func submitJob(submit *protocol.Submit) *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: submit}}
}

// maxBodyBytes returns the maximum size of a job's body. A greater limit of the configuration than
// maxJobBytes has no effect.
func maxBodyBytes(table *routeconfig.Table) int64 {
	if limit := table.Limits().MaxBodyBytes; limit > 0 {
		return min(limit, maxJobBytes)
	}
	return defaultMaxBodyBytes
}

// readSubmit reads and parses a job's body. If that fails, it responds to the client with 400 and
// returns false.
func readSubmit(w http.ResponseWriter, r *http.Request, maxBytes int64) (*protocol.Submit, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return nil, false
	}
	submit, err := parseJob(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return submit, true
}

// requestTimeout returns how long the control plane may take to reply: the smaller of the route's
// timeout and the client's X-Deadline-Ms header, less responseMargin for sending the response.
func requestTimeout(r *http.Request, route *routeconfig.Route) time.Duration {
	timeout := defaultTimeout
	if route.TimeoutMs > 0 {
		timeout = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return max(timeout-responseMargin, responseMargin)
}

// respond sends a request to the control plane and returns the reply to the client. Without a
// reply, it answers 504 if a write may have been executed and 503 otherwise.
func (f *frontend) respond(w http.ResponseWriter, r *http.Request, c call) {
	outcome, ok := f.gateway.do(r.Context(), c)
	switch {
	case !ok: // the client has disconnected
	case outcome.Reply != nil:
		writeReply(w, outcome.Reply)
	case outcome.MayHaveExecuted && c.destination == chainclient.ToHead:
		http.Error(w, "the control plane does not answer; the request may have been taken", http.StatusGatewayTimeout)
	default:
		reject(w, "the control plane can't be reached")
	}
}

// writeReply writes the control plane's reply to the client. Retry-After is rounded up to seconds.
func writeReply(w http.ResponseWriter, reply *protocol.ClientReply) {
	if reply.GetRetryAfterMs() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(reply.GetRetryAfterMs()+999)/1000))
	}
	if reply.GetStatus() == http.StatusOK {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(int(reply.GetStatus()))
	_, _ = w.Write(reply.GetBody()) // fails only if the client has disconnected
}

// reject answers 503 with Retry-After: the request was certainly not executed or is read-only, and
// the client can retry it.
func reject(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, reason, http.StatusServiceUnavailable)
}
