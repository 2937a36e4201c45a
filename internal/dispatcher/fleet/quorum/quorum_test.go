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

// fakeSink records the leaders that are reported to it.
type fakeSink struct{ led chan string }

func (t fakeSink) Applied(ledger.Done)                   {}
func (t fakeSink) Restored(ledger.State, ledger.State)   {}
func (t fakeSink) LeaderChanged(leader string, _ uint64) { t.led <- leader }
func (t fakeSink) LogOpened(string, bool)                {}

// TestLedBeforeAnybodyListens checks that the leader is reported even if it was elected before Run
// began to listen, which happens on a busy machine, and that a verdict from before the log in
// force began does not outlive it.
func TestLedBeforeAnybodyListens(t *testing.T) {
	dir, log := t.TempDir(), logrus.New()
	log.SetOutput(io.Discard)
	for _, again := range []bool{false, true} {
		port, err := clusterport.Open("127.78.0.1:0", "", logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		sink := fakeSink{make(chan string, 64)}
		alone := func() []members.Info {
			return []members.Info{{Name: "m", Addr: port.Advertised(), Meta: members.Meta{Disk: "d"}}}
		}
		disk, err := OpenDisk(dir, 0, logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		q, err := Open(Config{Name: "m", Disk: disk, Voters: []string{"m"}}, port, alone, sink, logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		for by := time.Now().Add(10 * time.Second); again && !q.IsLeader(); {
			if time.Now().After(by) {
				t.Fatal("a log of one voter has no leader")
			}
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); q.Run(ctx) }()
		select {
		case leader := <-sink.led:
			if leader != "m" {
				t.Errorf("%q leads", leader)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("nobody was told of the leader; again: %t", again)
		}
		for by := time.Now().Add(10 * time.Second); q.LogName() == ""; {
			if time.Now().After(by) {
				t.Fatal("the log has no name")
			}
		}
		before := "no voter has it" // a verdict from before the voters had published their logs
		q.lostReason.Store(&before)
		if err := q.LostError(); err != nil {
			t.Errorf("a log that is led and has its name is taken for lost: %v", err)
		}
		stop()
		<-done
		q.Close()
		port.Close()
	}
}
