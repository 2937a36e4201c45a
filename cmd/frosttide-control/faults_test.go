package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
)

// patch returns a change of one time-out that makes a version.
func patch(version, timeoutMs int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Routes":[{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":%d,"TargetLatencyMs":800,"Service":"toy","MaxAttempts":3,"Stretch":1.5}]}}`,
		version, timeoutMs)
}

// change sends an order to a core machine and returns the answer's status, 0 for none.
func change(address string, match int, body []byte) int {
	status, _, err := devcluster.Call(http.MethodPatch, "http://"+address+"/v1/config", "", fmt.Sprint(match), body)
	if err != nil {
		return 0
	}
	return status
}

// version reads the configuration's version at a core machine, 0 where it does not say.
func version(address string) int {
	status, body, err := devcluster.Call(http.MethodGet, "http://"+address+"/v1/config", "", "", nil)
	var response struct{ Version int }
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &response) != nil {
		return 0
	}
	return response.Version
}

// TestHeadStandsStill stops the head's process for 20 s and has it go on, while callers ask it and the others all the
// time: the configuration that it shows is never older than what was acknowledged before, and it disturbs nobody.
func TestHeadStandsStill(t *testing.T) {
	t.Parallel()
	const still = 20 * time.Second
	s := start(t, 2)
	old := s.Head()
	require.NotNil(t, old)
	var newest atomic.Int64
	newest.Store(1)
	over := make(chan struct{})
	var readers sync.WaitGroup
	for _, m := range s.Cores {
		readers.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
				}
				acknowledged := newest.Load()
				if got := version(m.Control()); got != 0 && int64(got) < acknowledged {
					t.Errorf("%s shows version %d after %d was acknowledged", m.Name, got, acknowledged)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	require.NoError(t, s.Pause(old))
	until := time.Now().Add(still)
	accepted := 0
	for next := 2; time.Now().Before(until); {
		for _, m := range s.Cores {
			if m != old && change(m.Control(), next-1, patch(next, 1000+next)) == http.StatusOK {
				newest.Store(int64(next))
				next++
				break
			}
		}
		if s.Submit(next%2, "previews", fmt.Sprintf("%016x", 0xa00+next), job) {
			accepted++
		}
		time.Sleep(200 * time.Millisecond)
	}
	require.Greater(t, newest.Load(), int64(3), "the others go on")
	require.Greater(t, accepted, 3)
	next := s.Head()
	require.NotNil(t, next)
	require.NotEqual(t, old, next)
	require.NoError(t, s.Continue(old))
	require.True(t, devcluster.WaitFor(maxWait, func() bool { return int64(version(old.Control())) == newest.Load() }), "it takes up what it has missed")
	require.Equal(t, http.StatusOK, change(old.Control(), int(newest.Load()), patch(int(newest.Load())+1, 999)))
	newest.Add(1)
	close(over)
	readers.Wait()
}

// TestOperatorsAtOnce has eight operators change one version to one number at once, at all members: one is acknowledged,
// the others are refused, and its order is acknowledged again at each member, later too.
func TestOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	const operators = 8
	s := start(t, 1)
	var mu sync.Mutex
	var winners [][]byte
	statuses := make(map[int]int)
	var all sync.WaitGroup
	for i := range operators {
		all.Go(func() {
			body := patch(2, 2000+i)
			var status int
			devcluster.WaitFor(maxWait, func() bool { // as long as the answer is not clear
				status = change(s.Cores[i%len(s.Cores)].Control(), 1, body)
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
	for pass := range 2 {
		for _, m := range s.Cores {
			require.Equal(t, http.StatusOK, change(m.Control(), 1, winners[0]), "it was taken")
			_, body, err := devcluster.Call(http.MethodGet, "http://"+m.Control()+"/v1/config", "", "", nil)
			require.NoError(t, err)
			require.Contains(t, string(body), string(winners[0][strings.Index(string(winners[0]), `"TimeoutMs"`):strings.Index(string(winners[0]), `,"TargetLatencyMs"`)]))
		}
		if pass == 0 {
			require.Equal(t, http.StatusOK, change(s.Cores[0].Control(), 2, patch(3, 3000)))
			require.Equal(t, http.StatusOK, change(s.Cores[1].Control(), 3, orderWithVersion(winners[0], 4)))
			head := s.Head()
			require.NotNil(t, head)
			s.Kill(head)
			require.NoError(t, s.Restart(head, false))
			require.True(t, devcluster.WaitFor(maxWait, func() bool {
				for _, m := range s.Cores {
					if version(m.Control()) != 4 {
						return false
					}
				}
				return true
			}))
		}
	}
}

// orderWithVersion returns an order with another version, so that what it sets is in force again.
func orderWithVersion(order []byte, version int) []byte {
	return []byte(strings.Replace(string(order), `"Version":2`, fmt.Sprintf(`"Version":%d`, version), 1))
}

// relay passes connections on to an address and loses every answer: it closes as soon as one begins.
func relay(t *testing.T, to string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				out, err := net.DialTimeout("tcp4", to, maxWait)
				if err != nil {
					return
				}
				defer out.Close()
				go func() { _, _ = io.Copy(out, in) }()
				var first [1]byte
				_, _ = out.Read(first[:])
			}()
		}
	}()
	return l.Addr().String()
}

// TestLostAnswers loses the answers to orders on their way: sent again at another member, seconds and changes later, an
// order that was taken is acknowledged.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	through := relay(t, s.Cores[0].Control())
	const orders = 5
	for next := 2; next < 2+orders; next++ {
		require.Zero(t, change(through, next-1, patch(next, 1000+next)), "its answer is lost")
		require.True(t, devcluster.WaitFor(maxWait, func() bool { return version(s.Cores[1].Control()) == next }), "it was taken all the same")
	}
	for next := 2; next < 2+orders; next++ {
		for _, m := range s.Cores {
			require.Equal(t, http.StatusOK, change(m.Control(), next-1, patch(next, 1000+next)))
		}
	}
	require.Equal(t, 1+orders, version(s.Cores[2].Control()))
}
