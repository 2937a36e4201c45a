package transport

import (
	"sync"

	"frosttide/internal/protocol"
)

// maxRememberedPeers is the number of addresses from which on entries of addresses without a link
// are pruned.
const maxRememberedPeers = 4096

// inboundPeer decides which of the links from one address may deliver messages. Only one may at a
// time: a process sends on one link after another, and the tail of the earlier link may still be
// buffered here when the later one starts. Once a link has delivered its first message, messages on
// the links before it are discarded.
type inboundPeer struct {
	readers int // number of links with a reader; guarded by the transport's lock

	mu      sync.Mutex // held while a message is handled
	current *link      // link that delivered the last message, nil before the first
}

// deliver calls handle unless a later link than l has already delivered a message. It returns the
// link that l replaced as the current one, nil if there was none, and whether handle was called.
func (p *inboundPeer) deliver(l *link, handle func()) (replaced *link, handled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l != p.current {
		if !p.supersedesCurrent(l) {
			return nil, false
		}
		replaced = p.current
		if replaced != nil {
			replaced.superseded = true
		}
		p.current = l
	}
	handle()
	return replaced, true
}

// mayDeliver reports whether messages of a link may still be handled.
func (p *inboundPeer) mayDeliver(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l == p.current || p.supersedesCurrent(l)
}

// supersedesCurrent reports whether a link is later than the current one, regardless of the order
// in which the two are read. Links of one process are ordered by their generations. Links of two
// processes are ordered by their connection numbers, because only one process at a time listens at
// an address and connects from it. If a link is refused by mistake, its peer opens another one.
func (p *inboundPeer) supersedesCurrent(l *link) bool {
	if l.superseded {
		return false
	}
	if p.current == nil {
		return true
	}
	if l.incarnation.Load() != p.current.incarnation.Load() {
		return l.connection > p.current.connection
	}
	return l.generation == 0 || l.generation > p.current.generation
}

// registerReader registers the reader of a link after its Hello was received, and copies the peer's
// incarnation and generation to the link.
func (t *Transport) registerReader(l *link, hello *protocol.Hello) *inboundPeer {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.incarnation.Store(hello.GetIncarnation())
	l.generation = hello.GetGeneration()
	peer := t.inbound[l.address]
	if peer == nil {
		t.pruneInbound()
		peer = &inboundPeer{}
		t.inbound[l.address] = peer
	}
	peer.readers++
	return peer
}

// unregisterReader undoes one registerReader call.
func (t *Transport) unregisterReader(peer *inboundPeer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer.readers--
}

// pruneInbound deletes the addresses without a reader once there are maxRememberedPeers of them.
// The caller holds the transport's lock.
func (t *Transport) pruneInbound() {
	if len(t.inbound) < maxRememberedPeers {
		return
	}
	for address, peer := range t.inbound {
		if peer.readers == 0 {
			delete(t.inbound, address)
		}
	}
}
