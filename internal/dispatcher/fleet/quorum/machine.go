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

// fsm is Raft's state machine: it applies committed entries to a ledger.State. Raft calls it from
// one goroutine; the state may be read from any.
type fsm struct {
	mu        sync.Mutex
	state     ledger.State
	onApplied func(ledger.Done)
	// onRestored is called with the states before and after a snapshot is restored.
	onRestored func(previous, current ledger.State)
}

// Apply applies a committed entry and returns its ledger.Done.
func (m *fsm) Apply(entry *raft.Log) any {
	var parsed ledger.Entry
	if err := json.Unmarshal(entry.Data, &parsed); err != nil {
		// The entry comes from another build: only the index advances.
		parsed = ledger.Entry{}
	}
	m.mu.Lock()
	done := m.state.Apply(entry.Index, parsed)
	m.mu.Unlock()
	m.onApplied(done)
	return done
}

// withWorkflows calls visit with the workflows while holding the lock.
func (m *fsm) withWorkflows(visit func(*statetable.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Flows == nil {
		m.state.Flows = &statetable.Table{}
	}
	visit(m.state.Flows)
}

// stateCopy returns a copy of the state without the workflows.
func (m *fsm) stateCopy() ledger.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Clone()
}

// Snapshot encodes the current state for Raft to persist.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
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
	return encodedState(text), nil
}

// Restore replaces the state with the one in a snapshot.
func (m *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	var text bytes.Buffer
	if _, err := io.Copy(&text, io.LimitReader(r, maxSnapshotBytes)); err != nil {
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
	m.onRestored(previous, current)
	return nil
}

// maxSnapshotBytes limits how much of a snapshot is read. It is large enough for
// ledger.MaxExcluded runners and the history.
const maxSnapshotBytes = 64 << 20

// encodedState is an encoded ledger.State; it implements raft.FSMSnapshot.
type encodedState []byte

// Persist writes the snapshot to Raft's sink.
func (s encodedState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: the encoded state holds no resources.
func (s encodedState) Release() {}
