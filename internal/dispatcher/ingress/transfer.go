package ingress

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
)

// transferMargin is how long before the end of all answers a transfer without an outcome fails, so that its client still
// gets a response.
const transferMargin = 100 * time.Millisecond

// handOverBegun reports whether all jobs were to go to a newer process. That may have
// ended since.
func (f *Front) handOverBegun() bool {
	select {
	case <-f.handingOver:
		return true
	default:
		return false
	}
}

// handsOver reports whether all jobs go to a newer process now.
func (f *Front) handsOver() bool { return f.handOverBegun() && f.peer.Succeeded() }

// transfer hands a client's connection and its request over to the newer process.
// It reports whether nothing more is owed to the client here.
func (f *Front) transfer(w http.ResponseWriter, r *http.Request, m *core.MovedRequest, body []byte) bool {
	if !f.peer.Succeeded() {
		return false
	}
	c := r.Context().Value(connKey{}).(*conn)
	c.responseWritten() // nobody else reads the connection from here on
	hijacked, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		f.log.WithError(err).Warn("a connection could not be handed over")
		return false
	}
	defer hijacked.Close() // this process's copy
	_ = hijacked.SetDeadline(time.Time{})
	var text bytes.Buffer
	writeRequest(&text, r, body)
	unread, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
	text.Write(unread)
	text.Write(c.lookahead.rest())
	if !f.peer.TransferConn(hijacked, text.Bytes(), m, f.transferDeadline(m)) {
		f.respondToUntransferred(hijacked, m)
	}
	return true
}

// writeRequest writes a request as its client sent it.
func writeRequest(text *bytes.Buffer, r *http.Request, body []byte) {
	fmt.Fprintf(text, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", r.Method, r.RequestURI, r.Host, len(body))
	_ = r.Header.WriteSubset(text, map[string]bool{"Content-Length": true}) // writes to memory
	text.WriteString("\r\n")
	text.Write(body)
}

// respondToUntransferred responds on a hijacked connection that the newer process
// did not take. A job with attempts may have run, so it fails; one that was never
// sent may be retried.
func (f *Front) respondToUntransferred(c net.Conn, m *core.MovedRequest) {
	status, result := http.StatusBadGateway, trace.Failed
	if len(m.Attempts) == 0 {
		status, result = http.StatusServiceUnavailable, trace.Refused
	}
	f.endRecord(m.Record, result, "hand_over", status)
	_ = c.SetWriteDeadline(time.Now().Add(rejectionTimeout))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// transferDeadline returns when a job has to be at the newer process: before its own deadline, and while this process
// can still respond to its client. A newer process that stalls ends the link.
func (f *Front) transferDeadline(m *core.MovedRequest) time.Time {
	deadline := f.answerBy.Load().Add(-transferMargin)
	if jobDeadline := monotime.Time(m.Deadline); jobDeadline.Before(deadline) {
		return jobDeadline
	}
	return deadline
}

// Adopt serves a client's connection that the older process hands over, beginning
// with the request that was read from it there. It reports whether the connection
// will be served; if not, it closes it.
func (f *Front) Adopt(c net.Conn, request []byte, m *core.MovedRequest) bool {
	return f.serveAdmitted(f.listener.admit(c, request, m))
}

// serveAdmitted has a connection be served that the server has not accepted itself. It
// reports whether that will be; if not, it closes the connection.
func (f *Front) serveAdmitted(c *conn) bool {
	if !f.adopted.offer(c) {
		c.Close()
		return false
	}
	return true
}
