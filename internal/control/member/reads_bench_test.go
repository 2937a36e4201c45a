package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// BenchmarkReads measures reads of a queue's count of pending jobs and of the configuration with
// 100 to 100,000 jobs in the store. The time of neither may grow with the number of jobs.
func BenchmarkReads(b *testing.B) {
	for _, count := range []int{100, 10_000, 100_000} {
		m := newServingMember(b)
		submitJobs(m, servingAt, count)
		pending := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadPending{ReadPending: &protocol.ReadPending{Queue: "q"}}}
		require.Equal(b, fmt.Sprintf(`{"Pending":%d}`, count), string(m.readReply(pending).GetBody()))
		b.Run(fmt.Sprintf("pending/%d", count), func(b *testing.B) {
			for range b.N {
				m.readReply(pending)
			}
		})
		b.Run(fmt.Sprintf("config/%d", count), func(b *testing.B) {
			for range b.N {
				m.readReply(&protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}})
			}
		})
	}
}

// submitJobs configures the queue q and submits a number of jobs to it, 1000 in each turn.
func submitJobs(m *Member, now time.Duration, count int) {
	const config = `{"Version":1,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/q/","TimeoutMs":1,"Service":"s"}],"Services":[{"Name":"s"}]}`
	m.Receive(now, "c", clientRequest(&protocol.ClientRequest{
		Id: 1, Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Body: []byte(config)}},
	}))
	completeTurn(m, now)
	for i := range count {
		submit := &protocol.Submit{Id: fmt.Sprintf("%016x", i), Queue: "q", Stages: []*protocol.Stage{{Count: 1, Cpu: 1}}}
		m.Receive(now, "c", clientRequest(&protocol.ClientRequest{Id: uint64(i + 2), Op: &protocol.ClientRequest_Submit{Submit: submit}}))
		if i%1000 == 999 {
			completeTurn(m, now)
		}
	}
	completeTurn(m, now)
}
