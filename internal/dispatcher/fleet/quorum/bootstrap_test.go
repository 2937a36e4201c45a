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

// TestLogAwaitsSeeds guards against a second log beside one that a member knows of whose gossip has
// not arrived yet.
func TestLogAwaitsSeeds(t *testing.T) {
	const seed = "127.78.250.1:7946"
	for name, c := range map[string]struct {
		known   uint64
		err     error
		refuses bool
		begins  bool
	}{
		"has a log":       {known: 9},
		"knows of no log": {begins: true},
		"is silent":       {err: context.DeadlineExceeded},
		"does not run":    {err: errors.New("connection refused"), refuses: true, begins: true},
	} {
		t.Run(name, func(t *testing.T) {
			q := openAlone(t, Config{
				Seeds:      []string{seed},
				KnownIndex: func(context.Context, string) (uint64, error) { return c.known, c.err },
				Refuses:    func(context.Context, string) bool { return c.refuses },
			})
			q.bootstrapIfReady(t.Context())
			require.Equal(t, c.begins, q.raft.LastIndex() > 0)
		})
	}
}

// TestLogAwaitsMemberThatJoins guards against a second log where a member joins while the seeds are
// asked.
func TestLogAwaitsMemberThatJoins(t *testing.T) {
	joined := false
	q := openAlone(t, Config{
		Seeds: []string{"127.78.250.1:7946"},
		KnownIndex: func(context.Context, string) (uint64, error) {
			joined = true
			return 0, nil
		},
	})
	alone := q.alive
	q.alive = func() []members.Info {
		if !joined {
			return alone()
		}
		return append(alone(), members.Info{Name: "follower", Meta: members.Meta{Log: true}})
	}
	q.bootstrapIfReady(t.Context())
	require.Zero(t, q.raft.LastIndex())
}

// openAlone opens the only voter of a log, which has no entry yet.
func openAlone(t *testing.T, cfg Config) *Quorum {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	port, err := clusterport.Open("127.78.0.1:0", "", logrus.NewEntry(log))
	require.NoError(t, err)
	t.Cleanup(port.Close)
	disk, err := OpenDisk(t.TempDir(), 0, logrus.NewEntry(log))
	require.NoError(t, err)
	cfg.Name, cfg.Disk, cfg.Voters = "m", disk, []string{"m"}
	alone := func() []members.Info {
		return []members.Info{{Name: cfg.Name, Addr: port.Advertised(), Meta: members.Meta{Disk: disk.ID()}}}
	}
	q, err := Open(cfg, port, alone, fakeSink{make(chan string, 64)}, logrus.NewEntry(log))
	require.NoError(t, err)
	t.Cleanup(q.Close)
	return q
}
