package transport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestOneLinkAtATimeHandsOver checks which links' messages are handled when several links from one
// address are read concurrently.
func TestOneLinkAtATimeHandsOver(t *testing.T) {
	type linkHello struct{ incarnation, generation, connection uint64 }
	for _, c := range []struct {
		name  string
		links []linkHello // in the order in which their Hellos are read
		reads []int       // index of the link that each message is read from
		want  []bool      // whether each message is handled
	}{
		{"one link", []linkHello{{1, 1, 1}}, []int{0, 0}, []bool{true, true}},
		{"a later link of the same process", []linkHello{{1, 1, 1}, {1, 2, 2}}, []int{0, 1, 1}, []bool{true, true, true}},
		{"a late message of the earlier link", []linkHello{{1, 1, 1}, {1, 2, 2}}, []int{0, 1, 0}, []bool{true, true, false}},
		{"all messages of the earlier link are late", []linkHello{{1, 1, 1}, {1, 2, 2}}, []int{1, 0}, []bool{true, false}},
		{"Hellos are read in reverse order", []linkHello{{1, 2, 1}, {1, 1, 2}}, []int{0, 1}, []bool{true, false}},
		{"a link without a generation does not supersede before its first message", []linkHello{{1, 1, 1}, {1, 0, 2}}, []int{0, 0}, []bool{true, true}},
		{"a later process at the address", []linkHello{{1, 7, 1}, {2, 1, 2}}, []int{0, 1, 0}, []bool{true, true, false}},
		{"the earlier process is late", []linkHello{{1, 7, 50}, {2, 1, 60}, {2, 2, 61}}, []int{1, 0, 2, 0, 1}, []bool{true, false, true, false, false}},
		{"two earlier processes are late", []linkHello{{3, 7, 50}, {1, 7, 40}, {2, 1, 60}, {2, 2, 61}}, []int{2, 0, 1, 3, 0}, []bool{true, false, false, true, false}},
		{"a series of restarts", []linkHello{{3, 7, 50}, {1, 7, 60}, {2, 1, 70}}, []int{0, 1, 2, 0, 1}, []bool{true, true, true, false, false}},
		{"a link that is refused by mistake is followed by another", []linkHello{{1, 7, 50}, {2, 1, 40}, {2, 2, 60}}, []int{0, 1, 2, 0}, []bool{true, false, true, false}},
		{"a process without generations", []linkHello{{1, 0, 1}, {1, 0, 2}}, []int{0, 1, 0}, []bool{true, true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := &Transport{inbound: make(map[string]*inboundPeer)}
			var links []*link
			var from []*inboundPeer
			for _, h := range c.links {
				l := newLink("peer")
				links = append(links, l)
				l.connection = h.connection
				from = append(from, tr.registerReader(l, &protocol.Hello{Incarnation: h.incarnation, Generation: h.generation}))
			}
			for i, n := range c.reads {
				called := false
				_, handled := from[n].deliver(links[n], func() { called = true })
				require.Equal(t, c.want[i], handled, "whether message %d is handled", i)
				require.Equal(t, handled, called)
			}
		})
	}
}

// TestPrunesPeersWithoutLinks checks that the number of remembered addresses without links is
// bounded, and that addresses with a link are kept.
func TestPrunesPeersWithoutLinks(t *testing.T) {
	tr := &Transport{inbound: make(map[string]*inboundPeer)}
	kept := tr.registerReader(newLink("kept"), &protocol.Hello{Incarnation: 1})
	for i := range 3 * maxRememberedPeers {
		tr.unregisterReader(tr.registerReader(newLink("peer "+string(rune(i))), &protocol.Hello{Incarnation: 1}))
		require.LessOrEqual(t, len(tr.inbound), maxRememberedPeers)
	}
	require.Same(t, kept, tr.inbound["kept"])
}
