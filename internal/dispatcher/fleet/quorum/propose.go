package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/ledger"
)

// Propose appends an entry to the log; this member must be the leader. It returns once a majority
// of the voters has the entry on disk and it is applied here. After an error that wraps
// ledger.ErrUnclear the entry may still be committed; after any other error it was not written.
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
	if !q.hasVoterMajority() || q.fsm.name() == "" {
		return ledger.Done{}, ErrForming
	}
	return q.write(ctx, e)
}

// notAppended are Raft's errors for an entry that it has not appended to its log.
var notAppended = []error{raft.ErrNotLeader, raft.ErrEnqueueTimeout, raft.ErrLeadershipTransferInProgress}

// write appends an entry to the log without the checks of Propose; this member must be the leader.
func (q *Quorum) write(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	encoded, err := json.Marshal(e)
	if err != nil {
		return ledger.Done{}, fmt.Errorf("entry: %w", err)
	}
	future := q.raft.Apply(encoded, timeoutOf(ctx))
	result := make(chan error, 1)
	// The goroutine ends at the latest when this member loses leadership.
	go func() { result <- future.Error() }()
	select {
	case err = <-result:
	case <-ctx.Done():
		return ledger.Done{}, fmt.Errorf("%w: no majority has it yet: %w", ledger.ErrUnclear, ctx.Err())
	}
	if slices.ContainsFunc(notAppended, func(target error) bool { return errors.Is(err, target) }) {
		return ledger.Done{}, fmt.Errorf("not written: %w", err)
	}
	if err != nil {
		return ledger.Done{}, fmt.Errorf("%w: %w", ledger.ErrUnclear, err)
	}
	return future.Response().(ledger.Done), nil
}
