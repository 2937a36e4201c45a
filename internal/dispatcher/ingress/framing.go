package ingress

import (
	"bytes"
	"strconv"
	"sync"
)

// maxLine bounds what framing keeps of a header line: enough for a length, and for
// the name of a header.
const maxLine = 64

// framing follows where each request of a connection begins and ends, as far as
// net/http hides it. Of a request with both Content-Length and Transfer-Encoding,
// net/http drops the length without a sign, and what follows the last chunk would
// pass as the next request. framing changes nothing of what is read.
type framing struct {
	mu       sync.Mutex
	heads    []head // whole ones that takeHead has not returned, in their order
	current  head   // the one that is being read
	line     []byte // of it, up to maxLine bytes
	first    byte   // its first byte
	started  bool   // it has a line
	body     int64  // bytes that still belong to the body before it
	unsynced bool   // where the next head begins is not known
}

// head is what framing knows of one request: how many Content-Length and
// Transfer-Encoding headers it has, and its length.
type head struct {
	lengths, encodings int
	length             int64 // -1 if it can't be parsed
}

// ambiguous reports whether two readers of the request could differ on its end.
func (h head) ambiguous() bool { return h.lengths > 1 || h.lengths > 0 && h.encodings > 0 }

// endsConnection reports whether the connection has to end with the request,
// because framing does not know its end.
func (h head) endsConnection() bool { return h.encodings > 0 || h.length < 0 }

// observe follows bytes that were read from the connection.
func (f *framing) observe(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(p) > 0 && !f.unsynced {
		if f.body > 0 {
			n := min(f.body, int64(len(p)))
			f.body -= n
			p = p[n:]
			continue
		}
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		if !f.started && len(f.line) == 0 && len(part) > 0 {
			f.first = part[0]
		}
		f.line = append(f.line, part[:min(len(part), maxLine-len(f.line))]...)
		p = rest
		if ended {
			f.endLine()
		}
	}
}

// endLine evaluates a whole line. The caller holds the lock.
func (f *framing) endLine() {
	line := bytes.TrimSuffix(f.line, []byte("\r"))
	f.line = f.line[:0]
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(line) == 0:
		f.endHead()
		return
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.current.encodings++
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		f.current.lengths++
		f.current.length = int64(n)
		if err != nil {
			f.current.length = -1
		}
	}
	f.started = true
}

// endHead evaluates a whole head. The caller holds the lock.
func (f *framing) endHead() {
	if !f.started {
		return // net/http skips an empty line here as well
	}
	f.heads = append(f.heads, f.current)
	f.unsynced = f.current.endsConnection() || f.current.ambiguous()
	f.body = f.current.length
	f.current, f.started = head{}, false
}

// takeHead returns the head of the request that net/http hands over now.
func (f *framing) takeHead() head {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.heads) == 0 { // can't be: net/http has read it
		return head{length: -1}
	}
	h := f.heads[0]
	f.heads = f.heads[1:]
	return h
}

// hasHead reports whether a whole head has been read that takeHead has not
// returned.
func (f *framing) hasHead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heads) > 0
}

// hasStrayData reports whether the data behind the request can't begin another
// one. Then the request's length was wrong, and its body is cut short.
func (f *framing) hasStrayData() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unsynced && f.body == 0 && (f.started || len(f.line) > 0) && (f.first < 'A' || f.first > 'Z')
}
