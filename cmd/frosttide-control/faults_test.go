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

// patchBody returns the body of a patch that creates a version and sets a route's timeout in it.
func patchBody(version, timeoutMs int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":%d,"TargetLatencyMs":800,"Service":"toy","MaxAttempts":3,"Stretch":1.5}]}}`,
		version, timeoutMs)
}

// patchConfig sends a patch of version ifMatch to a core machine and returns the response's status,
// or 0 if there is no response.
func patchConfig(address string, ifMatch int, body []byte) int {
	status, _, err := devcluster.Call(http.MethodPatch, "http://"+address+"/v1/config", "", fmt.Sprint(ifMatch), body)
	if err != nil {
		return 0
	}
	return status
}

// configVersion returns the configuration's version at a core machine, or 0 if it does not answer.
func configVersion(address string) int {
	status, body, err := devcluster.Call(http.MethodGet, "http://"+address+"/v1/config", "", "", nil)
	var response struct{ Version int }
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &response) != nil {
		return 0
	}
	return response.Version
}

// TestHeadStandsStill suspends the head's process for 20 s while clients read the configuration
// from all members. Guards against stale reads: no member may return a version older than one that
// was acknowledged before. The other members elect a new head, and the old one catches up.
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
	require.Greater(t, newest.Load(), int64(3), "versions acknowledged while the head is suspended")
	require.Greater(t, accepted, 3)
	require.NotEqual(t, old, c.requireHead())
	require.NoError(t, c.Continue(old))
	require.True(t, devcluster.WaitFor(maxWait, func() bool { return int64(configVersion(old.Control())) == newest.Load() }), "the resumed head does not catch up with the newest acknowledged version")
	require.Equal(t, http.StatusOK, patchConfig(old.Control(), int(newest.Load()), patchBody(int(newest.Load())+1, 999)))
	newest.Add(1)
	stopReaders()
}

// readVersions polls the configuration's version at every core machine until the returned function
// is called, and checks that no version is older than the newest one acknowledged before the read.
func readVersions(t *testing.T, c *cluster, newest *atomic.Int64) (stop func()) {
	stopped := make(chan struct{})
	var readers sync.WaitGroup
	for _, m := range c.Cores {
		readers.Go(func() {
			interval := time.NewTicker(10 * time.Millisecond)
			defer interval.Stop()
			for {
				acknowledged := newest.Load()
				if got := configVersion(m.Control()); got != 0 && int64(got) < acknowledged {
					t.Errorf("stale read at %s: got version %d, want at least the acknowledged version %d", m.Name, got, acknowledged)
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

// changeWithout repeatedly changes the configuration through the core machines other than paused,
// and submits jobs, for a duration. It returns the number of accepted jobs.
func changeWithout(c *cluster, paused *devcluster.Machine, newest *atomic.Int64, duration time.Duration) (accepted int) {
	interval := time.NewTicker(200 * time.Millisecond)
	defer interval.Stop()
	next := 2
	for end := time.Now().Add(duration); time.Now().Before(end); <-interval.C {
		for _, m := range c.Cores {
			if m != paused && patchConfig(m.Control(), next-1, patchBody(next, 1000+next)) == http.StatusOK {
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

// TestOperatorsAtOnce lets eight operators patch the same version concurrently at all members. One
// patch must be acknowledged and the others rejected. A repeat of the acknowledged patch must be
// acknowledged by each member, also after the head has been replaced.
func TestOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	winner := requireOneWinner(t, c, 8)
	requireAcknowledged(t, c, winner)
	require.Equal(t, http.StatusOK, patchConfig(c.Cores[0].Control(), 2, patchBody(3, 3000)))
	require.Equal(t, http.StatusOK, patchConfig(c.Cores[1].Control(), 3, patchWithVersion(winner, 4)))
	head := c.requireHead()
	c.Kill(head)
	require.NoError(t, c.Restart(head, false))
	require.True(t, devcluster.WaitFor(maxWait, func() bool {
		return !slices.ContainsFunc(c.Cores, func(m *devcluster.Machine) bool { return configVersion(m.Control()) != 4 })
	}))
	requireAcknowledged(t, c, winner)
}

// requireOneWinner sends different patches of version 1 concurrently, each until it gets a
// definitive response. It returns the one that was acknowledged.
func requireOneWinner(t *testing.T, c *cluster, operators int) []byte {
	t.Helper()
	var mu sync.Mutex
	var winners [][]byte
	statuses := make(map[int]int)
	var all sync.WaitGroup
	for i := range operators {
		all.Go(func() {
			body := patchBody(2, 2000+i)
			var status int
			devcluster.WaitFor(maxWait, func() bool {
				status = patchConfig(c.Cores[i%len(c.Cores)].Control(), 1, body)
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

// requireAcknowledged repeats an acknowledged patch of version 1 at every core machine, and
// requires that it is acknowledged and that the timeout that it set is in force.
func requireAcknowledged(t *testing.T, c *cluster, acknowledged []byte) {
	t.Helper()
	_, timeout, _ := strings.Cut(string(acknowledged), `"TimeoutMs"`)
	timeout, _, _ = strings.Cut(timeout, `,"TargetLatencyMs"`)
	for _, m := range c.Cores {
		require.Equal(t, http.StatusOK, patchConfig(m.Control(), 1, acknowledged), "status of a repeated patch that was acknowledged before")
		_, body, err := devcluster.Call(http.MethodGet, "http://"+m.Control()+"/v1/config", "", "", nil)
		require.NoError(t, err)
		require.Contains(t, string(body), `"TimeoutMs"`+timeout)
	}
}

// patchWithVersion returns the same patch with another new version, which sets the same values
// again.
func patchWithVersion(body []byte, version int) []byte {
	return []byte(strings.Replace(string(body), `"Version":2`, fmt.Sprintf(`"Version":%d`, version), 1))
}

// startLossyRelay starts a TCP proxy that drops every response: it closes a connection at the first
// byte of the response. It returns the proxy's address.
func startLossyRelay(t *testing.T, to string) string {
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

// forwardOneWay forwards requests until the first byte of a response, which it drops, and closes
// both connections.
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

// TestLostAnswers drops the responses to configuration patches. A client's retry at another member,
// seconds and further patches later, must be acknowledged, because the patch was applied.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	lossy := startLossyRelay(t, c.Cores[0].Control())
	const changes = 5
	for next := 2; next < 2+changes; next++ {
		require.Zero(t, patchConfig(lossy, next-1, patchBody(next, 1000+next)), "status of a patch whose response should be lost")
		require.True(t, devcluster.WaitFor(maxWait, func() bool { return configVersion(c.Cores[1].Control()) == next }), "the patch whose response was lost is not applied")
	}
	for next := 2; next < 2+changes; next++ {
		for _, m := range c.Cores {
			require.Equal(t, http.StatusOK, patchConfig(m.Control(), next-1, patchBody(next, 1000+next)))
		}
	}
	require.Equal(t, 1+changes, configVersion(c.Cores[2].Control()))
}
