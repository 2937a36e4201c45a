package ingress

import (
	"bytes"
	"strconv"
	"sync"
)

// framing reads along where each request of a connection begins and ends, as far
// as net/http hides it: of a request with both Content-Length and
// Transfer-Encoding it drops the length and tells nobody, and what follows the
// last chunk would pass as the next request. It changes nothing of what is read.
type framing struct {
	mu       sync.Mutex
	heads    []head // whole ones that nobody has taken, in their order
	current  head   // the one that is being read
	line     []byte // of it, up to mostLine bytes
	first    byte   // its first one
	started  bool   // it has a line
	body     int64  // bytes that still belong to the body before it
	unsynced bool   // where the next head begins is not known
}

// head is what framing tells of one request.
type head struct {
	lengths, encodings int
	length             int64 // -1 if it can't be read
}

// maxLine is enough for a length or the name of a header.
const maxLine = 64

// ambiguous tells whether two readers of the request could differ on its end.
func (h head) ambiguous() bool { return h.lengths > 1 || h.lengths > 0 && h.encodings > 0 }

// endsConnection tells whether the connection has to end with the request, as framing does
// not know its end.
func (h head) endsConnection() bool { return h.encodings > 0 || h.length < 0 }

// observe takes in what was read.
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

func (f *framing) endHead() {
	if !f.started {
		return // net/http has no use for an empty line here either
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

// hasHead tells whether a whole head has been read that nobody has taken.
func (f *framing) hasHead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heads) > 0
}

// hasStrayData tells whether what has come beyond the request can't begin another one:
// then the request's length was wrong, and its body is cut short.
func (f *framing) hasStrayData() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unsynced && f.body == 0 && (f.started || len(f.line) > 0) && (f.first < 'A' || f.first > 'Z')
}
