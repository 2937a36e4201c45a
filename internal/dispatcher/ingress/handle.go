package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"frosttide/internal/dispatcher/trace"
)

// handle routes a request. It does not use http.ServeMux, which would redirect requests whose
// path is not clean: paths must reach the worker unchanged.
func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	f.activeRequests.Add(1)
	defer f.activeRequests.Add(-1)
	// net/http does not reset the write deadline that an earlier response set on a kept-alive
	// connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	c := r.Context().Value(connKey{}).(*conn)
	defer c.responseWritten()
	// Request smuggling hides a request in the body of another one. Requests with contradictory
	// lengths are therefore rejected, and a connection is closed after a request whose end only
	// net/http knows.
	requestHead := c.framing.takeHead()
	if requestHead.unknownEnd() || f.handOverActive() || f.draining.Load() || c.closesAfterResponse() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case requestHead.ambiguous():
		f.endRecord(f.beginRecord(r), trace.Invalid, "framing", http.StatusBadRequest)
		f.rejectMalformed(w, "the length of the request is not clear", http.StatusBadRequest)
	case r.URL.Path == "/_health" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		w.WriteHeader(http.StatusOK)
	case r.Method != http.MethodPost:
		f.rejectMalformed(w, "jobs and call-backs come by POST", http.StatusMethodNotAllowed)
	case r.URL.Path == "/v1/job-events":
		f.handleJobEvent(w, r, c)
	default:
		f.handleJob(w, r, c)
	}
}

// rejectMalformed responds to a malformed request and closes the connection: the start of the
// next request may be unknown, and clients that send such requests must not occupy
// connections.
func (f *Front) rejectMalformed(w http.ResponseWriter, message string, status int) {
	f.malformed.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, message, status)
}

// readBody reads the body of a request, at most maxBody bytes, within requestTimeout of the
// whole request. If that fails it writes the error response and returns false.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c *conn) ([]byte, bool) {
	var body []byte
	err := error(&http.MaxBytesError{Limit: maxBody})
	if r.ContentLength <= maxBody { // don't read a body that is announced as too large
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.rejectMalformed(w, "the body is larger than 64 KiB", http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.rejectMalformed(w, "the body did not arrive in time", http.StatusRequestTimeout)
	case err != nil:
		f.rejectMalformed(w, "the body could not be read", http.StatusBadRequest)
	case c.framing.hasStrayData():
		// The job would run with a truncated body.
		f.rejectMalformed(w, "the body is longer than its length", http.StatusBadRequest)
	default:
		// Further reads only serve to detect that the client disconnects.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, true
	}
	return nil, false
}
