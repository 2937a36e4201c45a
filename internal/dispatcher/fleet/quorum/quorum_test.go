package quorum

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
)

// leaderRecorder is a Sink that sends each reported leader to a channel and ignores other events.
type leaderRecorder struct{ leaders chan string }

func (t leaderRecorder) Applied(ledger.Done)                   {}
func (t leaderRecorder) Restored(ledger.State, ledger.State)   {}
func (t leaderRecorder) LeaderChanged(leader string, _ uint64) { t.leaders <- leader }
func (t leaderRecorder) LogOpened(string, bool)                {}

// TestLeaderElectedBeforeRun checks that the leader is reported even if it was elected before Run
// registered its observer, which happens on a busy machine, and that an earlier verdict that the
// log is lost does not apply to a log with a leader and a name.
func TestLeaderElectedBeforeRun(t *testing.T) {
	dir, log := t.TempDir(), logrus.New()
	log.SetOutput(io.Discard)
	for _, restarted := range []bool{false, true} {
		port, err := clusterport.Open("127.78.0.1:0", "", logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		sink := leaderRecorder{make(chan string, 64)}
		onlySelf := func() []members.Info {
			return []members.Info{{Name: "m", Addr: port.Advertised(), Meta: members.Meta{Disk: "d"}}}
		}
		disk, err := OpenDisk(dir, 0, logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		q, err := Open(Config{Name: "m", Disk: disk, Voters: []string{"m"}}, port, onlySelf, sink, logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(10 * time.Second); restarted && !q.IsLeader(); {
			if time.Now().After(deadline) {
				t.Fatal("the only voter was not elected leader within 10 s")
			}
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); q.Run(ctx) }()
		select {
		case leader := <-sink.leaders:
			if leader != "m" {
				t.Errorf("reported leader: got %q, want \"m\"", leader)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("no leader was reported within 10 s; restarted: %t", restarted)
		}
		for deadline := time.Now().Add(10 * time.Second); q.LogName() == ""; {
			if time.Now().After(deadline) {
				t.Fatal("the log was not named within 10 s")
			}
		}
		staleReason := "no voter has it" // from before the voters published that they have a log
		q.lostReason.Store(&staleReason)
		if err := q.LostError(); err != nil {
			t.Errorf("LostError() of a log with a leader and a name: got %v, want nil", err)
		}
		stop()
		<-done
		q.Close()
		port.Close()
	}
}
