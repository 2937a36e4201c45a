package ingress

import (
	"bytes"
	"strconv"
	"sync"
)

// maxLineLength is the number of bytes that framing keeps of a header line: enough for the
// header names it looks for and a length.
const maxLineLength = 64

// framing tracks where the requests on a connection begin and end, to detect what net/http
// hides and so prevent request smuggling. If a request has both Content-Length and
// Transfer-Encoding, net/http silently drops the length, and data after the last chunk would be
// taken for the next request. framing only observes the data; it does not change it.
type framing struct {
	mu             sync.Mutex
	heads          []head // complete heads that takeHead has not returned yet, oldest first
	partial        head   // the head that is being read
	partialLine    []byte // its current line, at most maxLineLength bytes
	firstByte      byte   // the first byte of the head
	hasLine        bool   // at least one line of the head is complete
	bodyRemaining  int64  // unread bytes of the body before the head
	desynchronized bool   // the start of the next head is unknown
}

// head holds the framing headers of one request: the numbers of its Content-Length and
// Transfer-Encoding headers, and its length.
type head struct {
	contentLengths, transferEncodings int
	length                            int64 // body length in bytes; -1 if it can't be parsed
}

// ambiguous reports whether two HTTP implementations could disagree on the end of the request.
func (h head) ambiguous() bool {
	return h.contentLengths > 1 || h.contentLengths > 0 && h.transferEncodings > 0
}

// unknownEnd reports whether framing can't tell where the request ends. The connection must
// then be closed after the response.
func (h head) unknownEnd() bool { return h.transferEncodings > 0 || h.length < 0 }

// observe processes bytes that were read from the connection.
func (f *framing) observe(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(p) > 0 && !f.desynchronized {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(p)))
			f.bodyRemaining -= n
			p = p[n:]
			continue
		}
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		if !f.hasLine && len(f.partialLine) == 0 && len(part) > 0 {
			f.firstByte = part[0]
		}
		f.partialLine = append(f.partialLine, part[:min(len(part), maxLineLength-len(f.partialLine))]...)
		p = rest
		if ended {
			f.endLine()
		}
	}
}

// endLine evaluates a complete header line. The caller holds the mutex.
func (f *framing) endLine() {
	line := bytes.TrimSuffix(f.partialLine, []byte("\r"))
	f.partialLine = f.partialLine[:0]
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(line) == 0:
		f.endHead()
		return
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.partial.transferEncodings++
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		f.partial.contentLengths++
		f.partial.length = int64(n)
		if err != nil {
			f.partial.length = -1
		}
	}
	f.hasLine = true
}

// endHead evaluates a complete head. The caller holds the mutex.
func (f *framing) endHead() {
	if !f.hasLine {
		return // net/http also skips empty lines before a request
	}
	f.heads = append(f.heads, f.partial)
	f.desynchronized = f.partial.unknownEnd() || f.partial.ambiguous()
	f.bodyRemaining = f.partial.length
	f.partial, f.hasLine = head{}, false
}

// takeHead removes and returns the oldest head, which is that of the request that net/http has
// just passed to the handler.
func (f *framing) takeHead() head {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.heads) == 0 { // can't happen: net/http has read the head
		return head{length: -1}
	}
	h := f.heads[0]
	f.heads = f.heads[1:]
	return h
}

// hasHead reports whether a complete head has been read that takeHead has not returned yet.
func (f *framing) hasHead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heads) > 0
}

// hasStrayData reports whether the data after the request can't be the start of another one,
// because it does not begin with an upper-case letter. The request's Content-Length was then
// too small, and its body is truncated.
func (f *framing) hasStrayData() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.desynchronized && f.bodyRemaining == 0 && (f.hasLine || len(f.partialLine) > 0) &&
		(f.firstByte < 'A' || f.firstByte > 'Z')
}
