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

// machine applies the log to the ledger. Raft calls it from one goroutine; State may be read
// from any.
type machine struct {
	mu      sync.Mutex
	state   ledger.State
	applied func(ledger.Done)
	// replaced is told of the state before and after a snapshot.
	restored func(was, is ledger.State)
}

// Apply takes in an entry.
func (m *machine) Apply(l *raft.Log) any {
	var e ledger.Entry
	if err := json.Unmarshal(l.Data, &e); err != nil { // of another build; the index counts on
		e = ledger.Entry{}
	}
	m.mu.Lock()
	d := m.state.Apply(l.Index, e)
	m.mu.Unlock()
	m.applied(d)
	return d
}

// flows shows the workflows.
func (m *machine) flows(show func(*statetable.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Flows == nil {
		m.state.Flows = &statetable.Table{}
	}
	show(m.state.Flows)
}

func (m *machine) read() ledger.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Clone()
}

// Snapshot takes the state as it is.
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

// Restore takes over a snapshot.
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
	was := m.state
	m.state = next
	is := m.state.Clone()
	m.mu.Unlock()
	m.restored(was, is)
	return nil
}

// maxSnapshot bounds what is read of one: ledger.Most runners and the history.
const maxSnapshot = 64 << 20

type snapshot []byte

// Persist writes the state down.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release gives nothing back.
func (s snapshot) Release() {}
