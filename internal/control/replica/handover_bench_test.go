package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkHandOver has a newcomer take a state of 1, 10 and 50 MB from the tail over links of 1,000 Mbit/s. It reports
// the virtual time until the newcomer follows, the bytes sent, and the longest that one message held up the head
// and the tail in real time.
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
				n := &node{address: "m4"}
				c.members["m4"] = n
				b.StartTimer()
				c.start(n)
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

// BenchmarkTakeOver has the head's machine die while a chain member of a store of 50 MB is 10 MB behind, over links of
// 1,000 Mbit/s, and reports the virtual time until a write is answered.
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
		clear(c.blocked)
		c.linkRate = 1000 * megabit
		b.StartTimer()
		c.stop(c.head(), true)
		took := c.awaitWrite(1, time.Minute)
		b.ReportMetric(float64(took.Milliseconds()), "virtual-ms")
	}
}
