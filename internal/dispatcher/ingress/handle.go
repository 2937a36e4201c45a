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
	f.serving.Add(1)
	defer f.serving.Add(-1)
	// Guards answers on a kept connection against the write deadline of an earlier
	// one, which net/http does not take away.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	// Guards against a request hidden in another's body: where the lengths disagree
	// nothing is taken, and past a body whose end only net/http has seen nothing more
	// is read from the connection.
	x := r.Context().Value(connKey{}).(*conn)
	defer x.written()
	framed := x.framing.next()
	if framed.last() || f.gives() || f.draining.Load() || x.ending() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case framed.unclear():
		f.atDoor(f.story(r), trace.Unusable, "framing", http.StatusBadRequest)
		f.refuse(w, "the length of the request is not clear", http.StatusBadRequest)
	case r.URL.Path == "/_health" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		w.WriteHeader(http.StatusOK)
	case r.Method != http.MethodPost:
		f.refuse(w, "jobs and call-backs come by POST", http.StatusMethodNotAllowed)
	case r.URL.Path == "/v1/job-events":
		f.jobEvent(w, r, x)
	default:
		f.job(w, r, x)
	}
}

// refuse answers what is malformed and ends the connection: where the next
// request begins may not be known, and whoever sends such things is not to hold
// a place.
func (f *Front) refuse(w http.ResponseWriter, text string, status int) {
	f.bad.Add(1)
	w.Header().Set("Connection", "close")
	http.Error(w, text, status)
}

// body reads a request's body within its bounds, and within the time for the
// whole request. It answers what is wrong itself.
func (f *Front) body(w http.ResponseWriter, r *http.Request, x *conn) ([]byte, bool) {
	var text []byte
	err := error(&http.MaxBytesError{Limit: maxBody})
	if r.ContentLength <= maxBody { // a body that is announced as too large is not waited for
		text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		f.refuse(w, "the body is larger than 64 KiB", http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.refuse(w, "the body did not arrive in time", http.StatusRequestTimeout)
	case err != nil:
		f.refuse(w, "the body could not be read", http.StatusBadRequest)
	case x.framing.stray():
		// Guards against a body that is longer than it says: half of it would run.
		f.refuse(w, "the body is longer than its length", http.StatusBadRequest)
	default:
		// From here on a read only tells that the client leaves.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return text, true
	}
	return nil, false
}
