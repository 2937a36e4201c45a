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

// transferMargin is how long before answerBy a transfer without an outcome fails, so that its
// client still gets a response.
const transferMargin = 100 * time.Millisecond

// handOverStarted reports whether HandOver was called. The newer process may have ended since.
func (f *Front) handOverStarted() bool {
	select {
	case <-f.handingOver:
		return true
	default:
		return false
	}
}

// handOverActive reports whether HandOver was called and the newer process is still running.
func (f *Front) handOverActive() bool { return f.handOverStarted() && f.peer.SuccessorServes() }

// transfer hands a client's connection and its request over to the newer process. It returns
// false if this process still has to respond to the request, which is the case if the newer
// process is gone or the connection can't be hijacked.
func (f *Front) transfer(w http.ResponseWriter, r *http.Request, m *core.MovedRequest, body []byte) bool {
	if !f.peer.SuccessorServes() {
		return false
	}
	c := r.Context().Value(connKey{}).(*conn)
	c.responseWritten() // stops the lookahead, so that nothing else reads from the connection
	hijacked, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		f.log.WithError(err).Warn("a connection could not be handed over")
		return false
	}
	defer hijacked.Close() // the newer process has its own descriptor
	_ = hijacked.SetDeadline(time.Time{})
	var request bytes.Buffer
	writeRequest(&request, r, body)
	unread, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
	request.Write(unread)
	request.Write(c.lookahead.takeAll())
	if !f.peer.TransferConn(hijacked, request.Bytes(), m, f.transferDeadline(m)) {
		f.respondAfterFailedTransfer(hijacked, m)
	}
	return true
}

// writeRequest reconstructs the client's request, with its headers and body, for the newer
// process to parse.
func writeRequest(buf *bytes.Buffer, r *http.Request, body []byte) {
	fmt.Fprintf(buf, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", r.Method, r.RequestURI, r.Host, len(body))
	_ = r.Header.WriteSubset(buf, map[string]bool{"Content-Length": true}) // can't fail
	buf.WriteString("\r\n")
	buf.Write(body)
}

// respondAfterFailedTransfer responds on a hijacked connection that the newer process did not
// accept. A job with attempts may have run, so its client gets 502; a job that was never sent
// to a worker can be retried, so its client gets 503.
func (f *Front) respondAfterFailedTransfer(c net.Conn, m *core.MovedRequest) {
	status, result := http.StatusBadGateway, trace.Failed
	if len(m.Attempts) == 0 {
		status, result = http.StatusServiceUnavailable, trace.Refused
	}
	f.endRecord(m.Record, result, "hand_over", status)
	_ = c.SetWriteDeadline(time.Now().Add(failedTransferWriteTimeout))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// transferDeadline returns the time by which the newer process must have accepted a job: by the
// job's deadline, and early enough for this process to respond to the client if the transfer
// fails. It needs no shorter timeout for a newer process that stalls: the link ends then.
func (f *Front) transferDeadline(m *core.MovedRequest) time.Time {
	deadline := f.answerBy.Load().Add(-transferMargin)
	if jobDeadline := monotime.Time(m.Deadline); jobDeadline.Before(deadline) {
		return jobDeadline
	}
	return deadline
}

// Adopt serves a client's connection that an older process hands over, starting with the
// request that was read from it there; m is the state of the request. It reports whether the
// connection will be served, and closes it if not.
func (f *Front) Adopt(c net.Conn, request []byte, m *core.MovedRequest) bool {
	return f.serveAdmitted(f.listener.admit(c, request, m))
}

// serveAdmitted queues a connection that was not accepted by the HTTP server itself to be
// served. If the queue does not accept it, it closes the connection and returns false.
func (f *Front) serveAdmitted(c *conn) bool {
	if !f.adopted.offer(c) {
		c.Close()
		return false
	}
	return true
}
