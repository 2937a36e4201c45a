package transport

import (
	"sync"

	"frosttide/internal/protocol"
)

// maxRememberedPeers is the number of addresses above which those that have no link are forgotten.
const maxRememberedPeers = 4096

// inbound decides which link from an address hands its messages over. It is one at a time: a process sends on one link
// after the other, and the end of the earlier one may still be read here when the later one begins. From the first
// message of a link on, nothing more is taken from those that its process has sent on before.
type inbound struct {
	readers int // links that are read; guarded by the transport's lock

	mu          sync.Mutex // held while a message is handled
	current     *link      // that has handed over last
	incarnation uint64     // of its process
	generation  uint64     // of that link, as its process counts them
}

// handOver calls handle unless a link that came after l has handed over before. It returns the link that l has replaced,
// nil for none, and whether the message was handled.
func (in *inbound) handOver(l *link, handle func()) (replaced *link, handled bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if l != in.current {
		if !in.succeeds(l) {
			return nil, false
		}
		replaced = in.current
		if replaced != nil {
			replaced.superseded = true
		}
		in.current, in.incarnation, in.generation = l, l.incarnation.Load(), l.generation
	}
	handle()
	return replaced, true
}

// succeeds reports whether a link comes after the current one. Generations tell for links of one process, in whatever
// order they are read here. Between processes, and where the other one does not count, a link that has never handed
// over comes after one that has.
func (in *inbound) succeeds(l *link) bool {
	switch {
	case l.superseded:
		return false
	case in.current == nil || l.generation == 0 || l.incarnation.Load() != in.incarnation:
		return true
	}
	return l.generation > in.generation
}

// openInbound registers the reader of a link whose hello has come.
func (t *Transport) openInbound(l *link, hello *protocol.Hello) *inbound {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.incarnation.Store(hello.GetIncarnation())
	l.generation = hello.GetGeneration()
	in := t.inbound[l.address]
	if in == nil {
		t.forgetInbound()
		in = &inbound{}
		t.inbound[l.address] = in
	}
	in.readers++
	return in
}

// closeInbound ends the registration of a reader.
func (t *Transport) closeInbound(in *inbound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in.readers--
}

// forgetInbound forgets the addresses without a link where too many are known. The caller holds the transport's lock.
func (t *Transport) forgetInbound() {
	if len(t.inbound) < maxRememberedPeers {
		return
	}
	for address, in := range t.inbound {
		if in.readers == 0 {
			delete(t.inbound, address)
		}
	}
}
