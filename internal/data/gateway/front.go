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
	// defaultWithin is how long an answer may take where neither client nor route says.
	defaultWithin = 3 * time.Second
	// answerMargin is left of a client's time for the answer's way.
	answerMargin = 60 * time.Millisecond
	// defaultBody bounds a body in bytes where the configuration doesn't.
	defaultBody = 256 << 10
	// readHeaderTime bounds how long a request's header may take to come in.
	readHeaderTime = 3 * time.Second
	// closeAfter is how long after the wish to end new connections may still come.
	closeAfter = 2500 * time.Millisecond
	// endMargin is left of the grace time for the process to end.
	endMargin = 700 * time.Millisecond
	// retryAfter is what clients are told in seconds where a request was not taken.
	retryAfter = "1"
)

// front is the clients' side of the carrier.
type front struct {
	carrier  *Carrier
	table    atomic.Pointer[routeconfig.Table]
	draining atomic.Bool
	grace    time.Duration
	front    *http.Server
	ready    *http.Server
}

func newFront(c *Carrier, settings *nodefile.File) (*front, error) {
	f := &front{carrier: c, grace: nodefile.Seconds(settings.Bounds.GraceS)}
	f.table.Store(routeconfig.Empty())
	f.front = &http.Server{Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: readHeaderTime}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", f.readiness)
	f.ready = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTime}
	for address, server := range map[string]*http.Server{settings.ListenAddrs.Front: f.front, settings.ListenAddrs.Readiness: f.ready} {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, errors.Wrap(err, "carrier: an address can't be listened on")
		}
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "A listener ends", "address", address)
			}
		}()
	}
	return f, nil
}

// readiness tells the platform whether clients should come here.
func (f *front) readiness(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.table.Load().Version == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain lets clients go elsewhere and returns once all that was taken is answered, within the grace time.
func (f *front) drain() {
	f.draining.Store(true)
	f.front.SetKeepAlivesEnabled(false)
	time.Sleep(min(closeAfter, f.grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), f.grace-closeAfter-endMargin)
	defer cancel()
	if err := f.front.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Requests are open at the end")
	}
}

// serve answers a client.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	table := f.table.Load()
	if table.Version == 0 {
		f.refuse(w, "there is no configuration yet")
		return
	}
	route := table.Match(r.Host, r.URL.Path)
	if route == nil {
		http.Error(w, "there is no such queue", http.StatusNotFound)
		return
	}
	id := strings.TrimPrefix(r.URL.Path, route.PathPrefix)
	within := within(r, route)
	switch {
	case r.Method == http.MethodGet && id == "":
		f.answer(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadPending{ReadPending: &protocol.ReadPending{Queue: route.Name}}}, true, within)
	case r.Method == http.MethodGet:
		f.answer(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadState{ReadState: &protocol.ReadState{Id: id, Queue: route.Name}}}, true, within)
	case r.Method == http.MethodDelete && id != "":
		f.answer(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: id, Queue: route.Name}}}, false, within)
	case r.Method == http.MethodPost && id != "":
		f.submit(w, r, route, id, table, within)
	default:
		http.Error(w, "the method is not served here", http.StatusMethodNotAllowed)
	}
}

// submit takes a job.
func (f *front) submit(w http.ResponseWriter, r *http.Request, route *routeconfig.Route, id string, table *routeconfig.Table, within time.Duration) {
	most := table.Limits().MaxBodyBytes
	if most <= 0 {
		most = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
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
	f.answer(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: submit}}, false, within)
}

// within returns how long a client waits.
func within(r *http.Request, route *routeconfig.Route) time.Duration {
	out := defaultWithin
	if route.TimeoutMs > 0 {
		out = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil && ms > 0 {
		out = min(out, time.Duration(ms)*time.Millisecond)
	}
	return max(out-answerMargin, answerMargin)
}

// answer answers with what the control plane says.
func (f *front) answer(w http.ResponseWriter, r *http.Request, request *protocol.ClientRequest, read bool, within time.Duration) {
	o, ok := f.carrier.ask(r.Context(), request, read, within)
	switch {
	case !ok: // the client has gone
	case o.Reply != nil:
		f.pass(w, o)
	case o.Sent && !read:
		http.Error(w, "the control plane does not answer; the request may have been taken", http.StatusGatewayTimeout)
	default:
		f.refuse(w, "the control plane can't be reached")
	}
}

// pass hands on the control plane's answer.
func (f *front) pass(w http.ResponseWriter, o chainclient.Outcome) {
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

// refuse tells a client that its request was not taken and when to come back.
func (f *front) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, reason, http.StatusServiceUnavailable)
}
