package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"frosttide/internal/dispatcher/trace"
)

// handle sends a request to its part. There is no http.ServeMux, as it would
// redirect a job whose path it finds unclean, and paths pass through unchanged.
func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	f.activeRequests.Add(1)
	defer f.activeRequests.Add(-1)
	// Guards answers on a kept connection against the write deadline of an earlier
	// one, which net/http does not take away.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	// Guards against a request hidden in another's body: where the lengths disagree
	// nothing is taken, and past a body whose end only net/http has seen nothing more
	// is read from the connection.
	c := r.Context().Value(connKey{}).(*conn)
	defer c.responseWritten()
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

// rejectMalformed answers what is malformed and ends the connection: where the next
// request begins may not be known, and whoever sends such things is not to hold
// a place.
func (f *Front) rejectMalformed(w http.ResponseWriter, text string, status int) {
	f.malformed.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, text, status)
}

// readBody reads a request's body within its bounds, and within the time for the
// whole request. It answers what is wrong itself.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c *conn) ([]byte, bool) {
	var text []byte
	err := error(&http.MaxBytesError{Limit: maxBody})
	if r.ContentLength <= maxBody { // a body that is announced as too large is not waited for
		text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		f.rejectMalformed(w, "the body is larger than 64 KiB", http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.rejectMalformed(w, "the body did not arrive in time", http.StatusRequestTimeout)
	case err != nil:
		f.rejectMalformed(w, "the body could not be read", http.StatusBadRequest)
	case c.framing.hasStrayData():
		// Guards against a body that is longer than it says: half of it would run.
		f.rejectMalformed(w, "the body is longer than its length", http.StatusBadRequest)
	default:
		// From here on a read only tells that the client leaves.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return text, true
	}
	return nil, false
}
