package quorum

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/ledger"
)

// Propose has an entry written by this member, which must lead. It returns once a majority
// has the entry on disk and it is applied here. After an error that is not ErrNoLeader the
// entry may yet come to be; proposing it again under its id is harmless.
func (q *Quorum) Propose(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	if err := e.Validate(); err != nil {
		return ledger.Done{}, err
	}
	if err := q.LostError(); err != nil {
		return ledger.Done{}, err
	}
	if q.raft.State() != raft.Leader {
		return ledger.Done{}, ErrNoLeader
	}
	if !q.formed() || q.machine.name() == "" {
		return ledger.Done{}, ErrForming
	}
	return q.write(ctx, e)
}

// write has the leader write an entry.
func (q *Quorum) write(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	text, err := json.Marshal(e)
	if err != nil {
		return ledger.Done{}, fmt.Errorf("entry: %w", err)
	}
	f := q.raft.Apply(text, timeoutOf(ctx))
	got := make(chan error, 1)
	go func() { got <- f.Error() }() // it ends with the leadership at the latest
	select {
	case err = <-got:
	case <-ctx.Done():
		return ledger.Done{}, fmt.Errorf("no majority has it yet: %w", ctx.Err())
	}
	if err != nil {
		return ledger.Done{}, fmt.Errorf("not written: %w", err)
	}
	return f.Response().(ledger.Done), nil
}
