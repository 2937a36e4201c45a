package member_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// deliverUnencodableReport delivers a report whose runner has an ID that can't be encoded. No transport
// would deliver it.
func (m *singleMember) deliverUnencodableReport() {
	m.t.Helper()
	m.member.Receive(m.now, "10.0.1.2:7380", &protocol.Envelope{Body: &protocol.Envelope_RunnerReport{RunnerReport: &protocol.RunnerReport{
		Incarnation: 12, LeaseRound: 1, Account: &protocol.RunnerAccount{Id: "repetici\xf3n", Service: "toy"},
	}}})
	m.runTurn()
}

// TestHeadOutlivesUnencodableEntry guards against a head that takes an entry that can't be encoded for
// the failure of its disk: it goes on in the same epoch, with its agents' sessions, jobs and clients.
func TestHeadOutlivesUnencodableEntry(t *testing.T) {
	m := newSingleMember(t)
	m.configure(0, false, `{"Version":1,"Routes":[{"Name":"previews","Host":"h","PathPrefix":"/p/","TimeoutMs":3000,"Service":"toy","MaxAttempts":3}],"Services":[{"Name":"toy"}]}`)
	for range 3 {
		m.sendAgentReport()
	}
	epoch, session := m.member.Replica().Epoch(), m.orders.GetSession()
	m.deliverUnencodableReport()
	m.advance(tick)
	require.NotNil(t, m.member.Scheduler())
	require.False(t, m.member.Replica().Status().DiskFailed)
	require.Equal(t, epoch, m.member.Replica().Epoch())
	m.submit(&protocol.Submit{Queue: "previews", Id: "00000000000000a1", Spec: "runs", Stages: []*protocol.Stage{{Count: 1, Cpu: 1000, MemMb: 10, EstimateMs: 300}}})
	require.EqualValues(t, http.StatusOK, m.reply.GetStatus())
	for range 3 {
		m.sendAgentReport()
	}
	require.Greater(t, m.orders.GetSession(), session, "the agent would ignore the orders")
	details, known := m.member.Scheduler().JobDetails("00000000000000a1")
	require.True(t, known)
	require.NotEmpty(t, details.Steps[0].Tasks, "the job accepted after it was not started")
}
