package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"frosttide/internal/chainclient"
	"frosttide/internal/nodefile"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

const (
	// defaultTimeout is how long an answer may take where neither client nor route says.
	defaultTimeout = 3 * time.Second
	// responseMargin is left of a client's time for the answer's way.
	responseMargin = 60 * time.Millisecond
	// defaultMaxBodyBytes bounds a body in bytes where the configuration doesn't.
	defaultMaxBodyBytes = 256 << 10
	// readHeaderTimeout bounds how long a request's header may take to come in.
	readHeaderTimeout = 3 * time.Second
	// drainDelay is how long after the wish to end new connections may still come.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is left of the grace time for the process to end.
	exitMargin = 700 * time.Millisecond
	// retryAfterSeconds is what clients are told in seconds where a request was not taken.
	retryAfterSeconds = "1"
)

// frontend is the clients' side of the carrier.
type frontend struct {
	gateway         *Gateway
	table           atomic.Pointer[routeconfig.Table]
	draining        atomic.Bool
	grace           time.Duration
	clientServer    *http.Server
	readinessServer *http.Server
}

func newFrontend(g *Gateway, settings *nodefile.File) (*frontend, error) {
	f := &frontend{gateway: g, grace: nodefile.Seconds(settings.Bounds.GraceS)}
	f.table.Store(routeconfig.Empty())
	f.clientServer = &http.Server{Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: readHeaderTimeout}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", f.handleReadiness)
	f.readinessServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	for address, server := range map[string]*http.Server{settings.ListenAddrs.Front: f.clientServer, settings.ListenAddrs.Readiness: f.readinessServer} {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, errors.Wrap(err, "carrier: an address can't be listened on")
		}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "A listener ends", "address", address)
			}
		}()
	}
	return f, nil
}

// handleReadiness tells the platform whether clients should come here.
func (f *frontend) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.table.Load().Version == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain lets clients go elsewhere and returns once all that was taken is answered, within the grace time.
func (f *frontend) drain() {
	f.draining.Store(true)
	f.clientServer.SetKeepAlivesEnabled(false)
	time.Sleep(min(drainDelay, f.grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), f.grace-drainDelay-exitMargin)
	defer cancel()
	if err := f.clientServer.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Requests are open at the end")
	}
}

// serve answers a client.
func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	table := f.table.Load()
	if table.Version == 0 {
		f.reject(w, "there is no configuration yet")
		return
	}
	route := table.Match(r.Host, r.URL.Path)
	if route == nil {
		http.Error(w, "there is no such queue", http.StatusNotFound)
		return
	}
	id := strings.TrimPrefix(r.URL.Path, route.PathPrefix)
	timeout := requestTimeout(r, route)
	switch {
	case r.Method == http.MethodGet && id == "":
		f.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadPending{ReadPending: &protocol.ReadPending{Queue: route.Name}}}, true, timeout)
	case r.Method == http.MethodGet:
		f.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadState{ReadState: &protocol.ReadState{Id: id, Queue: route.Name}}}, true, timeout)
	case r.Method == http.MethodDelete && id != "":
		f.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id, Queue: route.Name}}}, false, timeout)
	case r.Method == http.MethodPost && id != "":
		f.submit(w, r, route, id, table, timeout)
	default:
		http.Error(w, "the method is not served here", http.StatusMethodNotAllowed)
	}
}

// submit takes a job.
func (f *frontend) submit(w http.ResponseWriter, r *http.Request, route *routeconfig.Route, id string, table *routeconfig.Table, timeout time.Duration) {
	maxBodyBytes := table.Limits().MaxBodyBytes
	if maxBodyBytes <= 0 {
		maxBodyBytes = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	submit, err := parseJob(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	submit.Id, submit.Queue = id, route.Name
	f.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: submit}}, false, timeout)
}

// requestTimeout returns how long a client waits.
func requestTimeout(r *http.Request, route *routeconfig.Route) time.Duration {
	out := defaultTimeout
	if route.TimeoutMs > 0 {
		out = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil && ms > 0 {
		out = min(out, time.Duration(ms)*time.Millisecond)
	}
	return max(out-responseMargin, responseMargin)
}

// respond answers with what the control plane says.
func (f *frontend) respond(w http.ResponseWriter, r *http.Request, request *protocol.ClientRequest, read bool, timeout time.Duration) {
	o, ok := f.gateway.do(r.Context(), request, read, timeout)
	switch {
	case !ok: // the client has gone
	case o.Reply != nil:
		f.writeReply(w, o)
	case o.MayHaveExecuted && !read:
		http.Error(w, "the control plane does not answer; the request may have been taken", http.StatusGatewayTimeout)
	default:
		f.reject(w, "the control plane can't be reached")
	}
}

// writeReply hands on the control plane's answer.
func (f *frontend) writeReply(w http.ResponseWriter, o chainclient.Outcome) {
	reply := o.Reply
	if reply.GetRetryAfterMs() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(reply.GetRetryAfterMs()+999)/1000))
	}
	if reply.GetStatus() == http.StatusOK {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(int(reply.GetStatus()))
	_, _ = w.Write(reply.GetBody())
}

// reject tells a client that its request was not taken and when to come back.
func (f *frontend) reject(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, reason, http.StatusServiceUnavailable)
}
