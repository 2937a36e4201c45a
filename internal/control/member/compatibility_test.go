package member_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/journal"
	"frosttide/internal/control/member"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
)

// update makes the test regenerate the files under testdata.
var update = flag.Bool("update", false, "regenerate the files under testdata")

const (
	tick          = 20 * time.Millisecond
	startMs       = 1_800_000_000_000 // time of day at the start, in ms since 1970
	agentAddress  = "10.0.1.1:7380"
	clientAddress = "10.0.2.1:7380"
	journalPath   = "testdata/journal.bin"
	wantStatePath = "testdata/journal.json"
)

// singleMember runs the only member of a control plane with one agent and a simulated disk that
// syncs every write at once.
type singleMember struct {
	t              *testing.T
	now            time.Duration
	member         *member.Member
	file           []byte
	orders         *protocol.RunnerOrders // newest orders sent to the agent
	lastLeaseRound uint64                 // of the agent's reports
	lastRequestID  uint64                 // of the client
	reply          *protocol.ClientReply  // newest reply to the client
}

// onlyMember returns the identity of the member that newSingleMember runs.
func onlyMember() *protocol.Member {
	return &protocol.Member{Id: 7, Number: 1, Address: "10.0.0.1:7380", Control: "10.0.0.1:8144", Zone: "z1"}
}

// newSingleMember runs the member from its first start until it serves.
func newSingleMember(t *testing.T) *singleMember {
	t.Helper()
	return runSingleMember(t, replica.FoundingState(onlyMember(), []*protocol.Member{onlyMember()}))
}

// runSingleMember runs the member from the state on its disk until it serves.
func runSingleMember(t *testing.T, state journal.State) *singleMember {
	t.Helper()
	self := onlyMember()
	cfg := member.Config{
		Replica:   replica.Config{Self: self, Incarnation: 1, Contacts: []string{self.GetAddress()}, Seed: 1, Timing: replica.DefaultTiming()},
		Scheduler: scheduler.Config{Lease: 6 * time.Second, StatusRetention: time.Minute, RackPrefix: "r", RemoteSlowdown: 1.5},
	}
	m := &singleMember{t: t, member: member.New(cfg, 0, state), orders: &protocol.RunnerOrders{}}
	m.advance(2 * time.Second)
	require.NotNil(t, m.member.Scheduler(), "got no scheduler after 2 s, want the member to serve as the head")
	return m
}

// runTurn ends the turn, carries out its writes until none are left, and records the newest orders
// to the agent and the newest reply to the client.
func (m *singleMember) runTurn() {
	m.t.Helper()
	for {
		out := m.member.Turn(m.now)
		for _, send := range out.Sends {
			if orders := send.Message.GetRunnerOrders(); orders != nil && send.To == agentAddress {
				m.orders = orders
			}
			if reply := send.Message.GetClientReply(); reply != nil && send.To == clientAddress {
				m.reply = reply
			}
		}
		if len(out.Writes) == 0 {
			return
		}
		for _, write := range out.Writes {
			if write.Image == nil {
				m.file = append(m.file, write.Data...)
				continue
			}
			image, err := write.Image.Encode()
			require.NoError(m.t, err)
			m.file = image
		}
		m.member.DiskDone(m.now, out.Writes[len(out.Writes)-1].Sequence, int64(len(m.file)), nil)
	}
}

// advance advances the time by d in steps of one tick.
func (m *singleMember) advance(d time.Duration) {
	m.t.Helper()
	for until := m.now + d; m.now < until; m.now += tick {
		m.member.Tick(m.now, startMs+m.now.Milliseconds())
		m.runTurn()
	}
}

// sendRequest delivers a client's request to the member, ends the turn and advances one tick.
func (m *singleMember) sendRequest(r *protocol.ClientRequest) {
	m.t.Helper()
	m.lastRequestID++
	r.Id, r.Incarnation, r.Attempt = m.lastRequestID, 5, 1
	m.member.Receive(m.now, clientAddress, &protocol.Envelope{Body: &protocol.Envelope_ClientRequest{ClientRequest: r}})
	m.runTurn()
	m.advance(tick)
}

// configure sends an order that replaces the configuration or, with patch, changes parts of it.
func (m *singleMember) configure(ifMatch uint64, patch bool, body string) {
	m.t.Helper()
	m.sendRequest(&protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: patch, IfMatch: ifMatch, Body: []byte(body)}}})
}

func (m *singleMember) submit(s *protocol.Submit) {
	m.t.Helper()
	m.sendRequest(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: s}})
}

// sendAgentReport delivers a report of the agent, which names the runs that have ended, and
// advances five ticks.
func (m *singleMember) sendAgentReport(ends ...*protocol.RunEnd) {
	m.t.Helper()
	m.lastLeaseRound++
	m.member.Receive(m.now, agentAddress, &protocol.Envelope{Body: &protocol.Envelope_RunnerReport{RunnerReport: &protocol.RunnerReport{
		Incarnation: 11, LeaseRound: m.lastLeaseRound, Epoch: m.orders.GetEpoch(), OrdersSeen: m.orders.GetSequence(), Holding: true, Ends: ends,
		Account: &protocol.RunnerAccount{Id: "i1", Service: "toy", Address: "10.0.1.1:9000", Zone: "z1", Version: "v1", Slots: 8,
			Capacity: &protocol.Capacity{Cpu: 4000, MemMb: 8192, Gpus: 2}, Labels: []string{"a", "r1-1"}},
	}}})
	m.runTurn()
	m.advance(5 * tick)
}

// runScenario produces jobs in all states and returns the member's journal file.
func runScenario(t *testing.T) []byte {
	t.Helper()
	m := newSingleMember(t)
	m.configure(0, false, `{"Version":1,"Routes":[{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":3000,"Service":"toy","Priority":1,"MaxAttempts":3},`+
		`{"Name":"old","Host":"jobs.example","PathPrefix":"/old/","TimeoutMs":3000,"Service":"toy"}],"Services":[{"Name":"toy","HealthPath":"/health"}],"Limits":{"MaxBodyBytes":100}}`)
	m.configure(1, true, `{"Version":4,"Upsert":{"Routes":[{"Name":"batches","Host":"jobs.example","PathPrefix":"/batches/","TimeoutMs":3000,"Service":"toy","Priority":2}]},"Remove":{"Routes":["old"]}}`)
	for range 3 {
		m.sendAgentReport()
	}
	smallStage := &protocol.Stage{Count: 1, Cpu: 1000, MemMb: 10, EstimateMs: 300}
	m.submit(&protocol.Submit{Queue: "previews", Id: "00000000000000a1", Spec: "completed", Stages: []*protocol.Stage{smallStage}})
	m.sendAgentReport()
	m.sendAgentReport(&protocol.RunEnd{Number: 1, Task: "00000000000000a1.0.0.0", Run: 1, How: "done"})
	m.submit(&protocol.Submit{Queue: "previews", Id: "00000000000000b2", Spec: "runs", Stages: []*protocol.Stage{
		{Count: 2, Cpu: 500, MemMb: 10, Gpus: 1, EstimateMs: 300, Checkpoints: true, Requirements: "a", Affinity: "r1-1"},
		{Count: 2, Cpu: 500, MemMb: 10, DependsOn: []uint32{0}, Gang: true, SameRack: true, AntiAffinity: 2, Speculative: true}}})
	m.sendAgentReport()
	m.sendAgentReport(&protocol.RunEnd{Number: 2, Task: "00000000000000b2.0.0.0", Run: 1, How: "failed", Saved: "00000bb8"},
		&protocol.RunEnd{Number: 3, Task: "00000000000000b2.0.0.1", Run: 1, How: "done"})
	m.submit(&protocol.Submit{Queue: "batches", Id: "00000000000000c3", Spec: "too large", Stages: []*protocol.Stage{{Count: 3, Cpu: 64000, MemMb: 10}}, AgeMs: 40})
	m.submit(&protocol.Submit{Queue: "batches", Id: "00000000000000d4", Spec: "canceled", Stages: []*protocol.Stage{{Count: 1, Cpu: 64000, LongRunning: true}}})
	m.sendRequest(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "00000000000000d4", Queue: "batches"}}})
	m.submit(&protocol.Submit{Queue: "batches", Id: "00000000000000e5", Spec: "timed", Stages: []*protocol.Stage{smallStage}, MaxRuns: 3, StartAtMs: startMs + 3_600_000, IntervalMs: 500})
	m.sendAgentReport()
	return appendRecords(t, m.file)
}

// appendRecords appends records as a member of a larger control plane writes them: a promise, an
// accepted view that changes the voters, installed state, and an entry. The file ends with another
// entry whose write was interrupted halfway.
func appendRecords(t *testing.T, file []byte) []byte {
	t.Helper()
	voters := []*protocol.Member{{Id: 7, Number: 1, Address: "10.0.0.1:7380", Control: "10.0.0.1:8144", Zone: "z1"},
		{Id: 8, Number: 2, Address: "10.0.0.2:7380", Control: "10.0.0.2:8144", Zone: "z2"}, {Id: 9, Number: 3, Address: "10.0.0.3:7380", Control: "10.0.0.3:8144"}}
	add := func(kind journal.Kind, body proto.Message) {
		extended, err := journal.Append(file, kind, int64(len(file)), body)
		require.NoError(t, err)
		file = extended
	}
	add(journal.KindPromise, &protocol.PromiseRecord{Ballot: 50<<16 | 2})
	add(journal.KindAccept, &protocol.AcceptRecord{View: &protocol.View{Epoch: 40<<16 | 1, Voters: voters, Previous: voters[:1], Chain: []uint64{8, 7}, NextNumber: 4}})
	add(journal.KindInstall, &protocol.InstallRecord{Epoch: 40<<16 | 1, Index: 1000, Puts: []*protocol.Put{{Key: "installed", Value: []byte{0, 1}}, {Key: "removed", Value: []byte{2}}}, Deletes: []string{"none"}})
	add(journal.KindEntry, &protocol.Entry{Index: 1001, Puts: []*protocol.Put{{Key: "entered", Value: []byte{3}}}, Deletes: []string{"removed"}})
	completeLength := len(file)
	add(journal.KindEntry, &protocol.Entry{Index: 1002, Puts: []*protocol.Put{{Key: "torn", Value: make([]byte, 100)}}})
	return file[:(completeLength+len(file))/2]
}

// itemTypes lists the message type of the items by the prefix of their keys; the first match
// counts.
var itemTypes = []struct {
	prefix  string
	message proto.Message
}{
	{"j/", &protocol.JobRecord{}}, {"s/", &protocol.StatusRecord{}}, {"t/", &protocol.TaskRecord{}}, {"r/", &protocol.RunnerRecord{}},
	{"c/", &protocol.ConfigItem{}}, {"c", &protocol.ConfigRecord{}}, {"o", &protocol.ConfigRecord{}}, {"w", &protocol.ClockRecord{}},
}

// jsonValue converts a message to a decoded JSON value, because the whitespace of protojson's
// output differs between builds.
func jsonValue(t *testing.T, m proto.Message) any {
	t.Helper()
	text, err := protojson.Marshal(m)
	require.NoError(t, err)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	require.NoError(t, decoder.Decode(&value))
	return value
}

// item is an item of the state in the golden file.
type item struct {
	Key   string
	Value []byte
	Reads any `json:",omitempty"` // the decoded value, if the type of the item is known
}

// formatState returns the state that is read from a journal file, as the text of the golden file.
func formatState(t *testing.T, file []byte) string {
	t.Helper()
	state, validLength, err := journal.Read(file)
	require.NoError(t, err)
	var items []item
	for _, put := range state.Store.All() {
		formatted := item{Key: put.GetKey(), Value: put.GetValue()}
		for _, itemType := range itemTypes {
			if strings.HasPrefix(put.GetKey(), itemType.prefix) {
				message := proto.Clone(itemType.message)
				require.NoError(t, proto.Unmarshal(put.GetValue(), message), put.GetKey())
				formatted.Reads = jsonValue(t, message)
				break
			}
		}
		items = append(items, formatted)
	}
	configTable, err := scheduler.LoadConfig(state.Store)
	require.NoError(t, err)
	text, err := json.MarshalIndent(map[string]any{
		"length": len(file), "good": validLength, "id": state.ID, "founder": state.Founder, "promised": state.Promised, "accepted": jsonValue(t, state.Accepted),
		"installed epoch": state.InstalledEpoch, "index": state.Index, "items": items, "configuration": string(configTable.Document()), "jobs": formatJobs(t, &state),
	}, "", " ")
	require.NoError(t, err)
	return string(text) + "\n"
}

// formatJobs returns a sorted line for each job of a state, with its tasks that have been started.
func formatJobs(t *testing.T, state *journal.State) (lines []string) {
	t.Helper()
	table, err := jobs.Load(state.Store)
	require.NoError(t, err)
	table.Each(func(j *jobs.Job) {
		line := strings.Join([]string{j.ID, j.Queue, j.Service, j.State.String(), j.Spec}, " ")
		j.EachStep(func(s *jobs.Step) {
			for i := range s.Tasks {
				if task := s.Tasks[i]; task.Run > 0 {
					line += "; " + strings.Join([]string{s.TaskID(i), task.Runner, task.Checkpoint, task.LastFailed}, " ")
				}
			}
		})
		lines = append(lines, line)
	})
	slices.Sort(lines)
	return lines
}

// TestCompatibilityJournal guards the format of the journal file. It reads a file that an earlier
// release wrote, with jobs, a configuration, views and an incomplete last record, and checks that
// the same events still produce the same bytes and that opening the file truncates the incomplete
// record.
func TestCompatibilityJournal(t *testing.T) {
	if *update {
		file := runScenario(t)
		require.NoError(t, os.MkdirAll(filepath.Dir(journalPath), 0o700))
		require.NoError(t, os.WriteFile(journalPath, file, 0o600))
		require.NoError(t, os.WriteFile(wantStatePath, []byte(formatState(t, file)), 0o600))
	}
	committed, err := os.ReadFile(journalPath)
	require.NoError(t, err)
	want, err := os.ReadFile(wantStatePath)
	require.NoError(t, err)
	t.Run("read", func(t *testing.T) { require.Equal(t, string(want), formatState(t, committed)) })
	t.Run("written", func(t *testing.T) {
		require.True(t, bytes.Equal(committed, runScenario(t)), "the journal written from the same events differs from the committed file")
	})
	t.Run("opened", func(t *testing.T) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "state"), committed, 0o600))
		file, state, err := journal.Open(dir)
		require.NoError(t, err)
		require.EqualValues(t, 1001, state.Index)
		require.NoError(t, file.Close())
		truncated, err := os.ReadFile(filepath.Join(dir, "state"))
		require.NoError(t, err)
		require.True(t, bytes.HasPrefix(committed, truncated) && len(truncated) < len(committed), "the opened file is not the committed one without its incomplete last record")
	})
}
