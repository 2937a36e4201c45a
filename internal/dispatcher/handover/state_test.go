package handover

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/core"
)

// recordingCore is a Core that records the calls of Restore and ApplyExclusion.
type recordingCore struct{ calls chan string }

// Snapshot implements Core.
func (c recordingCore) Snapshot(func(core.Snapshot)) {}

// Restore implements Core.
func (c recordingCore) Restore(core.Snapshot) { c.calls <- "restore" }

// ApplyExclusion implements Core.
func (c recordingCore) ApplyExclusion(e core.Exclusion) { c.calls <- "exclude " + e.UID }

// newAwaitingPeer returns the peer of a newer process that waits for the state, that process's
// core, and the older process's end of the connection.
func newAwaitingPeer(t *testing.T) (*peer, recordingCore, *net.UnixConn) {
	t.Helper()
	older, newer := linkPair(t)
	link, p := newTestLink(newer, nil)
	c := recordingCore{calls: make(chan string, 4)}
	link.core = c
	p.awaitingState.Store(true)
	go p.readLoop()
	return p, c, older
}

// writeStateAndExclusion writes a state and then an exclusion from the older process.
func writeStateAndExclusion(t *testing.T, older *net.UnixConn) {
	t.Helper()
	encoder := json.NewEncoder(older)
	require.NoError(t, encoder.Encode(message{State: &State{Core: core.Snapshot{Excluded: []string{"s-1"}}}}))
	require.NoError(t, encoder.Encode(message{Exclusion: &core.Exclusion{UID: "s-2", Out: true}}))
}

// TestStateInTime checks that a state that arrives in time is restored before later messages of the
// older process are handled.
func TestStateInTime(t *testing.T) {
	p, c, older := newAwaitingPeer(t)
	writeStateAndExclusion(t, older)
	state, err := p.awaitState(time.Minute)
	require.NoError(t, err)
	require.Equal(t, []string{"s-1"}, state.Core.Excluded)
	require.Equal(t, "restore", <-c.calls)
	require.Equal(t, "exclude s-2", <-c.calls)
}

// TestStateLate guards against two processes without a link after the state arrived late: the newer
// one then received reports on jobs that the older one held and could not forward them.
func TestStateLate(t *testing.T) {
	p, c, older := newAwaitingPeer(t)
	_, err := p.awaitState(time.Millisecond)
	require.ErrorIs(t, err, errNoState)
	require.True(t, p.link.setPeer(p))
	writeStateAndExclusion(t, older)
	require.Equal(t, "exclude s-1", <-c.calls)
	require.Equal(t, "exclude s-2", <-c.calls)
	require.True(t, p.link.Linked())
}

// TestStateOfEndedProcess checks that the newer process continues without a link if the older one
// ends before it has sent its state.
func TestStateOfEndedProcess(t *testing.T) {
	p, _, older := newAwaitingPeer(t)
	require.NoError(t, older.Close())
	_, err := p.awaitState(time.Minute)
	require.ErrorIs(t, err, errNoState)
	require.False(t, p.link.setPeer(p))
}
