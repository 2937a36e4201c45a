package handover

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/core"
)

// recordingCore records what a link tells the core.
type recordingCore struct{ calls chan string }

// Snapshot implements Core.
func (c recordingCore) Snapshot(func(core.Snapshot)) {}

// Restore implements Core.
func (c recordingCore) Restore(core.Snapshot) { c.calls <- "restore" }

// ApplyExclusion implements Core.
func (c recordingCore) ApplyExclusion(e core.Exclusion) { c.calls <- "exclude " + e.UID }

// newerProcess returns the peer of a newer process that awaits its state, its core, and the older process's end.
func newerProcess(t *testing.T) (*peer, recordingCore, *net.UnixConn) {
	t.Helper()
	older, newer := linkPair(t)
	link, p := newTestLink(newer, nil)
	c := recordingCore{calls: make(chan string, 4)}
	link.core = c
	p.awaitingState.Store(true)
	go p.readLoop()
	return p, c, older
}

// writeState has the older process pass its state and an exclusion that came later.
func writeState(t *testing.T, older *net.UnixConn) {
	t.Helper()
	encoder := json.NewEncoder(older)
	require.NoError(t, encoder.Encode(message{State: &State{Core: core.Snapshot{Excluded: []string{"s-1"}}}}))
	require.NoError(t, encoder.Encode(message{Exclusion: &core.Exclusion{UID: "s-2", Out: true}}))
}

// TestStateInTime checks that a state is restored before what the older process tells after it.
func TestStateInTime(t *testing.T) {
	p, c, older := newerProcess(t)
	writeState(t, older)
	state, err := p.awaitState(time.Minute)
	require.NoError(t, err)
	require.Equal(t, []string{"s-1"}, state.Core.Excluded)
	require.Equal(t, "restore", <-c.calls)
	require.Equal(t, "exclude s-2", <-c.calls)
}

// TestStateLate guards against two processes without a link: reports went to the newer one, whose jobs were the older one's.
func TestStateLate(t *testing.T) {
	p, c, older := newerProcess(t)
	_, err := p.awaitState(time.Millisecond)
	require.ErrorIs(t, err, errNoState)
	require.True(t, p.link.setPeer(p))
	writeState(t, older)
	require.Equal(t, "exclude s-1", <-c.calls)
	require.Equal(t, "exclude s-2", <-c.calls)
	require.True(t, p.link.Linked())
}

// TestStateOfEndedProcess checks that a process whose older one has ended goes on without a link.
func TestStateOfEndedProcess(t *testing.T) {
	p, _, older := newerProcess(t)
	require.NoError(t, older.Close())
	_, err := p.awaitState(time.Minute)
	require.ErrorIs(t, err, errNoState)
	require.False(t, p.link.setPeer(p))
}
