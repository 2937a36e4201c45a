package quorum

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/members"
)

// TestLogAwaitsSeeds guards against a second log while the member at a configured address may know
// of an existing one but has not arrived by gossip yet: the log must not be bootstrapped before
// each address answers that it knows of no log, or refuses connections.
func TestLogAwaitsSeeds(t *testing.T) {
	const seed = "127.78.250.1:7946"
	for name, c := range map[string]struct {
		known         uint64
		err           error
		refuses       bool
		wantBootstrap bool
	}{
		"has a log":       {known: 9},
		"knows of no log": {wantBootstrap: true},
		"does not answer": {err: context.DeadlineExceeded},
		"does not run":    {err: errors.New("connection refused"), refuses: true, wantBootstrap: true},
	} {
		t.Run(name, func(t *testing.T) {
			q := openOnlyVoter(t, Config{
				Seeds:      []string{seed},
				KnownIndex: func(context.Context, string) (uint64, error) { return c.known, c.err },
				Refuses:    func(context.Context, string) bool { return c.refuses },
			})
			q.bootstrapIfReady(t.Context())
			require.Equal(t, c.wantBootstrap, q.raft.LastIndex() > 0)
		})
	}
}

// TestLogAwaitsMemberThatJoins guards against a second log if a member with a log joins while the
// configured addresses are asked.
func TestLogAwaitsMemberThatJoins(t *testing.T) {
	joined := false
	q := openOnlyVoter(t, Config{
		Seeds: []string{"127.78.250.1:7946"},
		KnownIndex: func(context.Context, string) (uint64, error) {
			joined = true
			return 0, nil
		},
	})
	membersBeforeJoin := q.alive
	q.alive = func() []members.Info {
		if !joined {
			return membersBeforeJoin()
		}
		return append(membersBeforeJoin(), members.Info{Name: "follower", Meta: members.Meta{Log: true}})
	}
	q.bootstrapIfReady(t.Context())
	require.Zero(t, q.raft.LastIndex())
}

// openOnlyVoter opens the only voter of a log that has no entry yet. Run is not called.
func openOnlyVoter(t *testing.T, cfg Config) *Quorum {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	port, err := clusterport.Open("127.78.0.1:0", "", logrus.NewEntry(log))
	require.NoError(t, err)
	t.Cleanup(port.Close)
	disk, err := OpenDisk(t.TempDir(), 0, logrus.NewEntry(log))
	require.NoError(t, err)
	cfg.Name, cfg.Disk, cfg.Voters = "m", disk, []string{"m"}
	onlySelf := func() []members.Info {
		return []members.Info{{Name: cfg.Name, Addr: port.Advertised(), Meta: members.Meta{Disk: disk.ID()}}}
	}
	q, err := Open(cfg, port, onlySelf, leaderRecorder{make(chan string, 64)}, logrus.NewEntry(log))
	require.NoError(t, err)
	t.Cleanup(q.Close)
	return q
}
