package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"frosttide/internal/dispatcher/trace"
)

// handle routes a request. There is no http.ServeMux, as it would redirect a job
// whose path it finds unclean, and paths have to reach the worker unchanged.
func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	f.activeRequests.Add(1)
	defer f.activeRequests.Add(-1)
	// net/http does not take away the write deadline of an earlier response on a kept
	// connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	c := r.Context().Value(connKey{}).(*conn)
	defer c.responseWritten()
	// A request may hide in another's body. So nothing is taken where the lengths
	// disagree, and nothing more is read from the connection past a body whose end
	// only net/http has seen.
	framed := c.framing.takeHead()
	if framed.endsConnection() || f.handsOver() || f.draining.Load() || c.endsWithResponse() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case framed.ambiguous():
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

// rejectMalformed responds to a malformed request and ends the connection: where
// the next request begins may not be known, and whoever sends such requests must
// not hold a place.
func (f *Front) rejectMalformed(w http.ResponseWriter, text string, status int) {
	f.malformed.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, text, status)
}

// readBody reads a request's body of up to maxBody bytes, within the timeout of
// the whole request. It responds to what is wrong itself, and then returns false.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c *conn) ([]byte, bool) {
	var text []byte
	err := error(&http.MaxBytesError{Limit: maxBody})
	if r.ContentLength <= maxBody { // a body that is announced as too large is not waited for
		text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
		// A job whose body is longer than it says would run with a part of it.
		f.rejectMalformed(w, "the body is longer than its length", http.StatusBadRequest)
	default:
		// From here on a read only shows that the client leaves.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return text, true
	}
	return nil, false
}
