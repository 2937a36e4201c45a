package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
)

// patch returns a patch that sets one time-out and makes a version.
func patch(version, timeoutMs int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":%d,"TargetLatencyMs":800,"Service":"toy","MaxAttempts":3,"Stretch":1.5}]}}`,
		version, timeoutMs)
}

// change sends a core machine a patch of a version and returns the answer's status, 0 for none.
func change(address string, ifMatch int, body []byte) int {
	status, _, err := devcluster.Call(http.MethodPatch, "http://"+address+"/v1/config", "", fmt.Sprint(ifMatch), body)
	if err != nil {
		return 0
	}
	return status
}

// version returns the configuration's version at a core machine, 0 where there is no answer.
func version(address string) int {
	status, body, err := devcluster.Call(http.MethodGet, "http://"+address+"/v1/config", "", "", nil)
	var response struct{ Version int }
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &response) != nil {
		return 0
	}
	return response.Version
}

// TestHeadStandsStill stops the head's process for 20 s and lets it go on, while callers ask it and the other members all
// the time: the configuration that it shows is never older than what was acknowledged before, and it disturbs nobody.
func TestHeadStandsStill(t *testing.T) {
	t.Parallel()
	const frozen = 20 * time.Second
	c := startCluster(t, 2)
	old := c.requireHead()
	var newest atomic.Int64 // newest version that was acknowledged
	newest.Store(1)
	stopReaders := readVersions(t, c, &newest)
	require.NoError(t, c.Pause(old))
	accepted := changeWithout(c, old, &newest, frozen)
	require.Greater(t, newest.Load(), int64(3), "the others do not go on")
	require.Greater(t, accepted, 3)
	require.NotEqual(t, old, c.requireHead())
	require.NoError(t, c.Continue(old))
	require.True(t, devcluster.WaitFor(maxWait, func() bool { return int64(version(old.Control())) == newest.Load() }), "the old head does not catch up")
	require.Equal(t, http.StatusOK, change(old.Control(), int(newest.Load()), patch(int(newest.Load())+1, 999)))
	newest.Add(1)
	stopReaders()
}

// readVersions reads the configuration's version at every core machine until the returned function is called, and
// checks that none is older than the newest that was acknowledged before.
func readVersions(t *testing.T, c *cluster, newest *atomic.Int64) (stop func()) {
	stopped := make(chan struct{})
	var readers sync.WaitGroup
	for _, m := range c.Cores {
		readers.Go(func() {
			interval := time.NewTicker(10 * time.Millisecond)
			defer interval.Stop()
			for {
				acknowledged := newest.Load()
				if got := version(m.Control()); got != 0 && int64(got) < acknowledged {
					t.Errorf("%s shows version %d after %d was acknowledged", m.Name, got, acknowledged)
					return
				}
				select {
				case <-stopped:
					return
				case <-interval.C:
				}
			}
		})
	}
	return func() {
		close(stopped)
		readers.Wait()
	}
}

// changeWithout changes the configuration again and again at all core machines but one, and submits jobs, for a time. It
// returns how many jobs were accepted.
func changeWithout(c *cluster, paused *devcluster.Machine, newest *atomic.Int64, duration time.Duration) (accepted int) {
	interval := time.NewTicker(200 * time.Millisecond)
	defer interval.Stop()
	next := 2
	for end := time.Now().Add(duration); time.Now().Before(end); <-interval.C {
		for _, m := range c.Cores {
			if m != paused && change(m.Control(), next-1, patch(next, 1000+next)) == http.StatusOK {
				newest.Store(int64(next))
				next++
				break
			}
		}
		if c.Submit(next%2, "previews", fmt.Sprintf("%016x", 0xa00+next), job) {
			accepted++
		}
	}
	return accepted
}

// TestOperatorsAtOnce has eight operators replace one version at once, at all members: one change is acknowledged, the
// others are refused. The acknowledged one is acknowledged again at each member, also after a change of the head.
func TestOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	winner := requireOneWinner(t, c, 8)
	requireAcknowledged(t, c, winner)
	require.Equal(t, http.StatusOK, change(c.Cores[0].Control(), 2, patch(3, 3000)))
	require.Equal(t, http.StatusOK, change(c.Cores[1].Control(), 3, patchWithVersion(winner, 4)))
	head := c.requireHead()
	c.Kill(head)
	require.NoError(t, c.Restart(head, false))
	require.True(t, devcluster.WaitFor(maxWait, func() bool {
		return !slices.ContainsFunc(c.Cores, func(m *devcluster.Machine) bool { return version(m.Control()) != 4 })
	}))
	requireAcknowledged(t, c, winner)
}

// requireOneWinner sends different changes of version 1 at once until each has a clear answer. It returns the one that was
// acknowledged.
func requireOneWinner(t *testing.T, c *cluster, operators int) []byte {
	t.Helper()
	var mu sync.Mutex
	var winners [][]byte
	statuses := make(map[int]int)
	var all sync.WaitGroup
	for i := range operators {
		all.Go(func() {
			body := patch(2, 2000+i)
			var status int
			devcluster.WaitFor(maxWait, func() bool {
				status = change(c.Cores[i%len(c.Cores)].Control(), 1, body)
				return status == http.StatusOK || status == http.StatusPreconditionFailed
			})
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if status == http.StatusOK {
				winners = append(winners, body)
			}
		})
	}
	all.Wait()
	require.Equal(t, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: operators - 1}, statuses)
	return winners[0]
}

// requireAcknowledged sends a change of version 1 again to every core machine, which acknowledges it, and requires that
// what it set is in force.
func requireAcknowledged(t *testing.T, c *cluster, order []byte) {
	t.Helper()
	_, timeout, _ := strings.Cut(string(order), `"TimeoutMs"`)
	timeout, _, _ = strings.Cut(timeout, `,"TargetLatencyMs"`)
	for _, m := range c.Cores {
		require.Equal(t, http.StatusOK, change(m.Control(), 1, order), "an acknowledged change is refused")
		_, body, err := devcluster.Call(http.MethodGet, "http://"+m.Control()+"/v1/config", "", "", nil)
		require.NoError(t, err)
		require.Contains(t, string(body), `"TimeoutMs"`+timeout)
	}
}

// patchWithVersion returns a patch that makes another version, so that what it sets is in force again.
func patchWithVersion(order []byte, version int) []byte {
	return []byte(strings.Replace(string(order), `"Version":2`, fmt.Sprintf(`"Version":%d`, version), 1))
}

// relay returns an address that forwards connections to another one and loses every answer: it closes a connection as
// soon as an answer begins.
func relay(t *testing.T, to string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var connections sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		connections.Wait()
	})
	connections.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { forwardOneWay(in, to) })
		}
	})
	return listener.Addr().String()
}

// forwardOneWay forwards a connection until the first byte of the answer, which it drops, and closes both ends.
func forwardOneWay(in net.Conn, to string) {
	defer in.Close()
	out, err := net.DialTimeout("tcp4", to, maxWait)
	if err != nil {
		return
	}
	var forward sync.WaitGroup
	forward.Go(func() { _, _ = io.Copy(out, in) })
	var first [1]byte
	_, _ = out.Read(first[:])
	out.Close()
	in.Close()
	forward.Wait()
}

// TestLostAnswers loses the answers to changes of the configuration on their way. Sent again to another member, seconds and
// changes later, a change that was made is acknowledged.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	lossy := relay(t, c.Cores[0].Control())
	const changes = 5
	for next := 2; next < 2+changes; next++ {
		require.Zero(t, change(lossy, next-1, patch(next, 1000+next)), "the answer is not lost")
		require.True(t, devcluster.WaitFor(maxWait, func() bool { return version(c.Cores[1].Control()) == next }), "the change is not made")
	}
	for next := 2; next < 2+changes; next++ {
		for _, m := range c.Cores {
			require.Equal(t, http.StatusOK, change(m.Control(), next-1, patch(next, 1000+next)))
		}
	}
	require.Equal(t, 1+changes, version(c.Cores[2].Control()))
}
