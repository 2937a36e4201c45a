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

// update makes the test write the files under testdata instead of comparing with them.
var update = flag.Bool("update", false, "write the files under testdata anew")

const (
	tick       = 20 * time.Millisecond
	startMs    = 1_800_000_000_000 // time of day at the start
	agent      = "10.0.1.1:7380"
	journalBin = "testdata/journal.bin"
	journalTxt = "testdata/journal.json"
)

// lonelyMember is the only member of a control plane, on a disk that syncs at once, with one agent.
type lonelyMember struct {
	t           *testing.T
	now         time.Duration
	member      *member.Member
	file        []byte
	orders      *protocol.RunnerOrders // newest
	lastReport  uint64                 // of the agent
	lastRequest uint64                 // of a client
}

func newLonelyMember(t *testing.T) *lonelyMember {
	t.Helper()
	self := &protocol.Member{Id: 7, Number: 1, Address: "10.0.0.1:7380", Control: "10.0.0.1:8144", Zone: "z1"}
	cfg := member.Config{
		Replica:   replica.Config{Self: self, Incarnation: 1, Contacts: []string{self.GetAddress()}, Seed: 1, Timing: replica.DefaultTiming()},
		Scheduler: scheduler.Config{Lease: 6 * time.Second, StatusRetention: time.Minute, RackPrefix: "r", RemoteSlowdown: 1.5},
	}
	m := &lonelyMember{t: t, member: member.New(cfg, 0, replica.FoundingState(self, []*protocol.Member{self})), orders: &protocol.RunnerOrders{}}
	m.pass(2 * time.Second)
	require.NotNil(t, m.member.Scheduler(), "the member does not serve")
	return m
}

// turn carries out a turn and keeps the newest orders to the agent.
func (m *lonelyMember) turn() {
	m.t.Helper()
	for {
		out := m.member.Turn(m.now)
		for _, send := range out.Sends {
			if orders := send.Message.GetRunnerOrders(); orders != nil && send.To == agent {
				m.orders = orders
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

// pass lets a time pass in ticks.
func (m *lonelyMember) pass(d time.Duration) {
	m.t.Helper()
	for until := m.now + d; m.now < until; m.now += tick {
		m.member.Tick(m.now, startMs+m.now.Milliseconds())
		m.turn()
	}
}

// request sends a request of a client.
func (m *lonelyMember) request(r *protocol.ClientRequest) {
	m.t.Helper()
	m.lastRequest++
	r.Id, r.Incarnation, r.Attempt = m.lastRequest, 5, 1
	m.member.Receive(m.now, "10.0.2.1:7380", &protocol.Envelope{Body: &protocol.Envelope_ClientRequest{ClientRequest: r}})
	m.turn()
	m.pass(tick)
}

func (m *lonelyMember) configure(match uint64, patch bool, body string) {
	m.t.Helper()
	m.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: patch, IfMatch: match, Body: []byte(body)}}})
}

func (m *lonelyMember) submit(s *protocol.Submit) {
	m.t.Helper()
	m.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: s}})
}

// agentReports sends a report of the agent to the head, with runs that have ended.
func (m *lonelyMember) agentReports(ends ...*protocol.RunEnd) {
	m.t.Helper()
	m.lastReport++
	m.member.Receive(m.now, agent, &protocol.Envelope{Body: &protocol.Envelope_RunnerReport{RunnerReport: &protocol.RunnerReport{
		Incarnation: 11, LeaseRound: m.lastReport, Epoch: m.orders.GetEpoch(), OrdersSeen: m.orders.GetSequence(), Holding: true, Ends: ends,
		Account: &protocol.RunnerAccount{Id: "i1", Service: "toy", Address: "10.0.1.1:9000", Zone: "z1", Version: "v1", Slots: 8,
			Capacity: &protocol.Capacity{Cpu: 4000, MemMb: 8192, Gpus: 2}, Labels: []string{"a", "r1-1"}},
	}}})
	m.turn()
	m.pass(5 * tick)
}

// runScenario brings about jobs in all states, and returns the member's file.
func runScenario(t *testing.T) []byte {
	t.Helper()
	m := newLonelyMember(t)
	m.configure(0, false, `{"Version":1,"Routes":[{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":3000,"Service":"toy","Priority":1,"MaxAttempts":3},`+
		`{"Name":"old","Host":"jobs.example","PathPrefix":"/old/","TimeoutMs":3000,"Service":"toy"}],"Services":[{"Name":"toy","HealthPath":"/health"}],"Limits":{"MaxBodyBytes":100}}`)
	m.configure(1, true, `{"Version":4,"Upsert":{"Routes":[{"Name":"batches","Host":"jobs.example","PathPrefix":"/batches/","TimeoutMs":3000,"Service":"toy","Priority":2}]},"Remove":{"Routes":["old"]}}`)
	for range 3 {
		m.agentReports()
	}
	small := &protocol.Stage{Count: 1, Cpu: 1000, MemMb: 10, EstimateMs: 300}
	m.submit(&protocol.Submit{Queue: "previews", Id: "00000000000000a1", Spec: "completed", Stages: []*protocol.Stage{small}})
	m.agentReports()
	m.agentReports(&protocol.RunEnd{Number: 1, Task: "00000000000000a1.0.0.0", Run: 1, How: "done"})
	m.submit(&protocol.Submit{Queue: "previews", Id: "00000000000000b2", Spec: "runs", Stages: []*protocol.Stage{
		{Count: 2, Cpu: 500, MemMb: 10, Gpus: 1, EstimateMs: 300, Checkpoints: true, Requirements: "a", Affinity: "r1-1"},
		{Count: 2, Cpu: 500, MemMb: 10, DependsOn: []uint32{0}, Gang: true, SameRack: true, AntiAffinity: 2, Speculative: true}}})
	m.agentReports()
	m.agentReports(&protocol.RunEnd{Number: 2, Task: "00000000000000b2.0.0.0", Run: 1, How: "failed", Saved: "00000bb8"},
		&protocol.RunEnd{Number: 3, Task: "00000000000000b2.0.0.1", Run: 1, How: "done"})
	m.submit(&protocol.Submit{Queue: "batches", Id: "00000000000000c3", Spec: "too large", Stages: []*protocol.Stage{{Count: 3, Cpu: 64000, MemMb: 10}}, AgeMs: 40})
	m.submit(&protocol.Submit{Queue: "batches", Id: "00000000000000d4", Spec: "canceled", Stages: []*protocol.Stage{{Count: 1, Cpu: 64000, LongRunning: true}}})
	m.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "00000000000000d4", Queue: "batches"}}})
	m.submit(&protocol.Submit{Queue: "batches", Id: "00000000000000e5", Spec: "timed", Stages: []*protocol.Stage{small}, MaxRuns: 3, StartAtMs: startMs + 3_600_000, IntervalMs: 500})
	m.agentReports()
	return appendRecords(t, m.file)
}

// appendRecords adds the records that a member writes in a system of several: a promise, an accepted view that changes
// the voters, state that was taken over, an entry, and one whose write was not finished.
func appendRecords(t *testing.T, file []byte) []byte {
	t.Helper()
	voters := []*protocol.Member{{Id: 7, Number: 1, Address: "10.0.0.1:7380", Control: "10.0.0.1:8144", Zone: "z1"},
		{Id: 8, Number: 2, Address: "10.0.0.2:7380", Control: "10.0.0.2:8144", Zone: "z2"}, {Id: 9, Number: 3, Address: "10.0.0.3:7380", Control: "10.0.0.3:8144"}}
	add := func(kind journal.Kind, body proto.Message) {
		longer, err := journal.Append(file, kind, int64(len(file)), body)
		require.NoError(t, err)
		file = longer
	}
	add(journal.KindPromise, &protocol.PromiseRecord{Ballot: 50<<16 | 2})
	add(journal.KindAccept, &protocol.AcceptRecord{View: &protocol.View{Epoch: 40<<16 | 1, Voters: voters, Previous: voters[:1], Chain: []uint64{8, 7}, NextNumber: 4}})
	add(journal.KindInstall, &protocol.InstallRecord{Epoch: 40<<16 | 1, Index: 1000, Puts: []*protocol.Put{{Key: "installed", Value: []byte{0, 1}}, {Key: "removed", Value: []byte{2}}}, Deletes: []string{"none"}})
	add(journal.KindEntry, &protocol.Entry{Index: 1001, Puts: []*protocol.Put{{Key: "entered", Value: []byte{3}}}, Deletes: []string{"removed"}})
	complete := len(file)
	add(journal.KindEntry, &protocol.Entry{Index: 1002, Puts: []*protocol.Put{{Key: "torn", Value: make([]byte, 100)}}})
	return file[:(complete+len(file))/2]
}

// itemTypes are the messages that items hold, by the prefix of their key.
var itemTypes = []struct {
	prefix  string
	message proto.Message
}{
	{"j/", &protocol.JobRecord{}}, {"s/", &protocol.StatusRecord{}}, {"t/", &protocol.TaskRecord{}}, {"r/", &protocol.RunnerRecord{}},
	{"c/", &protocol.ConfigItem{}}, {"c", &protocol.ConfigRecord{}}, {"o", &protocol.ConfigRecord{}}, {"w", &protocol.ClockRecord{}},
}

// readable returns a message as JSON that does not change from run to run.
func readable(t *testing.T, m proto.Message) any {
	t.Helper()
	text, err := protojson.Marshal(m)
	require.NoError(t, err)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	require.NoError(t, decoder.Decode(&value))
	return value
}

// item is an item of the state as the golden file shows it.
type item struct {
	Key   string
	Value []byte
	Reads any `json:",omitempty"`
}

// content returns what a file holds, as text.
func content(t *testing.T, file []byte) string {
	t.Helper()
	state, validLength, err := journal.Read(file)
	require.NoError(t, err)
	var items []item
	for _, put := range state.Store.All() {
		shown := item{Key: put.GetKey(), Value: put.GetValue()}
		for _, kind := range itemTypes {
			if strings.HasPrefix(put.GetKey(), kind.prefix) {
				message := proto.Clone(kind.message)
				require.NoError(t, proto.Unmarshal(put.GetValue(), message), put.GetKey())
				shown.Reads = readable(t, message)
				break
			}
		}
		items = append(items, shown)
	}
	config, err := scheduler.LoadConfig(state.Store)
	require.NoError(t, err)
	text, err := json.MarshalIndent(map[string]any{
		"length": len(file), "good": validLength, "id": state.ID, "founder": state.Founder, "promised": state.Promised, "accepted": readable(t, state.Accepted),
		"installed epoch": state.InstalledEpoch, "index": state.Index, "items": items, "configuration": string(config.Document()), "jobs": jobsOf(t, &state),
	}, "", " ")
	require.NoError(t, err)
	return string(text) + "\n"
}

// jobsOf returns a line for each job and task of a state.
func jobsOf(t *testing.T, state *journal.State) (lines []string) {
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

// TestCompatibilityJournal reads a member's file that an earlier release wrote, with jobs, a configuration, views and a
// torn end, and writes the same file anew from the same events.
func TestCompatibilityJournal(t *testing.T) {
	if *update {
		file := runScenario(t)
		require.NoError(t, os.MkdirAll(filepath.Dir(journalBin), 0o700))
		require.NoError(t, os.WriteFile(journalBin, file, 0o600))
		require.NoError(t, os.WriteFile(journalTxt, []byte(content(t, file)), 0o600))
	}
	committed, err := os.ReadFile(journalBin)
	require.NoError(t, err)
	want, err := os.ReadFile(journalTxt)
	require.NoError(t, err)
	t.Run("read", func(t *testing.T) { require.Equal(t, string(want), content(t, committed)) })
	t.Run("written", func(t *testing.T) {
		require.True(t, bytes.Equal(committed, runScenario(t)), "the same events lead to another file")
	})
	t.Run("opened", func(t *testing.T) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "state"), committed, 0o600))
		file, state, err := journal.Open(dir)
		require.NoError(t, err)
		require.EqualValues(t, 1001, state.Index)
		require.NoError(t, file.Close())
		left, err := os.ReadFile(filepath.Join(dir, "state"))
		require.NoError(t, err)
		require.True(t, bytes.HasPrefix(committed, left) && len(left) < len(committed), "the torn end is cut off")
	})
}
