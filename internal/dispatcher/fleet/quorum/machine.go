package quorum

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// machine is the Raft state machine; it applies the log to a ledger.State. Raft calls it from one
// goroutine; the state may be read from any.
type machine struct {
	mu      sync.Mutex
	state   ledger.State
	applied func(ledger.Done)
	// restored is called with the state before and after a snapshot was restored.
	restored func(previous, current ledger.State)
}

// Apply applies a committed entry.
func (m *machine) Apply(l *raft.Log) any {
	var e ledger.Entry
	if err := json.Unmarshal(l.Data, &e); err != nil { // from another build: it changes nothing but the index
		e = ledger.Entry{}
	}
	m.mu.Lock()
	d := m.state.Apply(l.Index, e)
	m.mu.Unlock()
	m.applied(d)
	return d
}

// flows calls show with the workflows, under the lock.
func (m *machine) flows(show func(*statetable.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Flows == nil {
		m.state.Flows = &statetable.Table{}
	}
	show(m.state.Flows)
}

// read returns a copy of the state without the workflows.
func (m *machine) read() ledger.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Clone()
}

// Snapshot returns the current state for Raft to persist.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	s := m.state.Clone()
	if m.state.Flows != nil {
		s.Flows = m.state.Flows.Clone()
	}
	m.mu.Unlock()
	text, err := s.Bytes()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot(text), nil
}

// Restore replaces the state by a snapshot's.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	var text bytes.Buffer
	if _, err := io.Copy(&text, io.LimitReader(r, maxSnapshot)); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	next, err := ledger.Parse(text.Bytes())
	if err != nil {
		return err
	}
	m.mu.Lock()
	previous := m.state
	m.state = next
	current := m.state.Clone()
	m.mu.Unlock()
	m.restored(previous, current)
	return nil
}

// maxSnapshot bounds the snapshot that is read, in bytes: it fits ledger.MaxExcluded runners and
// the history.
const maxSnapshot = 64 << 20

// snapshot is an encoded state.
type snapshot []byte

// Persist writes the snapshot to Raft's sink.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing.
func (s snapshot) Release() {}
