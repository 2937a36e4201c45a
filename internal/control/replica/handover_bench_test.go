package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkHandOver lets a joiner fetch a state of 1, 10 and 50 MB from the tail over links of 1,000 Mbit/s. It reports the
// virtual time until the joiner follows, the megabytes sent, and the longest real time for which one message occupied the
// head or the tail.
func BenchmarkHandOver(b *testing.B) {
	for _, size := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("%dMB", size), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				c := newClusterTolerating(b, 800, 3, 1)
				c.quiet = true
				c.play(time.Second)
				c.fill(size * megabyte)
				c.linkRate = 1000 * megabit
				c.longestReceive = make(map[string]time.Duration)
				began := c.now
				b.StartTimer()
				n := c.startJoiner("m4")
				for c.now-began < time.Minute && !n.chain.following {
					c.play(tick)
				}
				b.StopTimer()
				require.True(b, n.chain.following)
				pause := max(c.longestReceive["m1"], c.longestReceive["m2"], c.longestReceive["m3"])
				b.ReportMetric(float64((c.now - began).Milliseconds()), "virtual-ms")
				b.ReportMetric(float64(c.stateSentTo("m4"))/megabyte, "MB-sent")
				b.ReportMetric(float64(pause.Microseconds())/1000, "pause-ms")
				b.StartTimer()
			}
		})
	}
}

// BenchmarkTakeOver stops the head while a member outside the chain lacks 10 MB of a state of 50 MB, over links of 1,000
// Mbit/s, and reports the virtual time until a write has a reply.
func BenchmarkTakeOver(b *testing.B) {
	for range b.N {
		b.StopTimer()
		c := newClusterTolerating(b, 801, 3, 1)
		c.quiet = true
		c.play(time.Second)
		c.fill(40 * megabyte)
		behind := c.memberOutsideChain()
		c.isolate(behind)
		c.fill(10 * megabyte)
		c.unblockAll()
		c.linkRate = 1000 * megabit
		b.StartTimer()
		c.stop(c.head(), true)
		took := c.awaitWrite(1, time.Minute)
		b.ReportMetric(float64(took.Milliseconds()), "virtual-ms")
	}
}
