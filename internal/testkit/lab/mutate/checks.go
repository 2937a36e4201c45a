package mutate

const (
	viewFile      = "internal/view/view.go"
	consensusFile = "internal/control/replica/consensus.go"
	chainFile     = "internal/control/replica/chain.go"
	installFile   = "internal/control/replica/install.go"
	transferFile  = "internal/control/replica/transfer.go"
	confirmFile   = "internal/control/replica/confirm.go"
	electionFile  = "internal/control/replica/election.go"
	diskFile      = "internal/control/replica/disk.go"
	schedulerFile = "internal/control/scheduler/scheduler.go"
	leaseFile     = "internal/control/scheduler/lease.go"
	requestsFile  = "internal/control/scheduler/requests.go"
	feasibleFile  = "internal/control/placement/feasible.go"
	agentFile     = "internal/data/agent/machine.go"
	headFile      = "internal/data/agent/head.go"
	sizeFile      = "internal/data/agent/responsesize.go"
	memberFile    = "internal/control/member/member.go"
)

// Mutations lists one mutation for each check that the safety of the cluster scheduler depends on.
// Each quotes the source text that it replaces, so a change of such a line has to update the
// quotation as well; TestChecksApply fails otherwise.
var Mutations = []Mutation{
	{"a majority of the voters", viewFile, "return n/2 + 1", "return max(1, n/2)"},
	{"the majority of the voters before a change", viewFile, "return hasMajority(v.GetVoters(), has) && (len(v.GetPrevious()) == 0 || hasMajority(v.GetPrevious(), has))",
		"return hasMajority(v.GetVoters(), has)"},
	{"the length of the chain", viewFile, "return min(voters, max(faults+1, voters-Majority(voters)+1))", "return 1"},
	{"the newest state becomes the head", viewFile, "cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(b.Index, a.Index),",
		"cmp.Or(0*cmp.Compare(class(a), class(b)), cmp.Compare(b.Index, a.Index),"},
	{"the longest log becomes the head", viewFile, "cmp.Compare(b.Index, a.Index), ", ""},

	{"a promise is synced before it is sent", consensusFile, "	m.afterSync(func() {\n		if m.promised != proposalNumber {", "	func(do func()) { do() }(func() {\n		if m.promised != proposalNumber {"},
	{"a view is synced before its acceptance is sent", consensusFile, "	m.afterSync(func() {\n		reply(&protocol.Accepted{", "	func(do func()) { do() }(func() {\n		reply(&protocol.Accepted{"},
	{"no promise below an earlier one", consensusFile, "if p.GetBallot() < m.promised {", "if false {"},
	{"no view below a promise", consensusFile, "if proposalNumber < m.promised {", "if false {"},
	{"a view that others may have accepted is built on", consensusFile, "a.GetEpoch() > proposal.base.GetEpoch()", "a.GetEpoch() > proposal.base.GetEpoch() && false"},
	{"both majorities accept a view", consensusFile, "if !view.Quorum(proposal.base, has) || !view.Quorum(proposal.view, has) {", "if !view.Quorum(proposal.view, has) {"},

	{"entries of another epoch are dropped", chainFile, "if a.GetEpoch() != m.Epoch() || m.promised > a.GetEpoch() {", "if m.promised > a.GetEpoch() {"},
	{"no entries of an epoch that a member has promised to leave", chainFile, "if a.GetEpoch() != m.Epoch() || m.promised > a.GetEpoch() {", "if a.GetEpoch() != m.Epoch() {"},
	{"no entries before the state of the view is installed", chainFile, "if inChain && m.installedEpoch != a.GetEpoch() || !inChain && !m.chain.following {", "if !inChain && !m.chain.following {"},
	{"entries are appended without a gap", chainFile, "if e.GetIndex() != m.index+1 {", "if e.GetIndex() <= m.index {"},
	{"missing entries are requested", chainFile, "if a.GetFirst() > m.index {", "if false {"},
	{"an entry is synced by the head and all predecessors before it is committed", chainFile, "committed := min(m.prefixDurable(), m.suffixDurable())", "committed := m.suffixDurable()"},
	{"an entry is synced by all successors before it is committed", chainFile, "committed := min(m.prefixDurable(), m.suffixDurable())", "committed := m.prefixDurable()"},
	{"own writes count once they are synced", chainFile, "		return m.durable\n	}\n	return min(m.durable, m.chain.prefixDurable)", "		return m.index\n	}\n	return min(m.index, m.chain.prefixDurable)"},
	{"a head that has promised to follow another view appends nothing", chainFile, "return m.Serving() && !m.disk.failed && m.promised <= m.Epoch()", "return m.Serving() && !m.disk.failed"},
	{"an acknowledgement comes from the successor", chainFile, "if a.GetEpoch() != m.Epoch() || successor == nil || successor.GetAddress() != from {", "if successor == nil {"},

	{"all chain members have installed the state before the head serves", installFile, "if p == nil || p.lastHeartbeat.GetInstalledEpoch() != m.Epoch() || p.lastHeartbeat.GetPromised() > m.Epoch() {", "if p == nil {"},
	{"no chain member has promised to leave the view before the head serves", installFile, "p.lastHeartbeat.GetInstalledEpoch() != m.Epoch() || p.lastHeartbeat.GetPromised() > m.Epoch() {", "p.lastHeartbeat.GetInstalledEpoch() != m.Epoch() {"},
	{"a head that has restarted does not go on in its view", installFile, "return m.isHead() && m.view.GetEpoch() <= m.bootEpoch", "return false"},
	{"the state that was taken has the digest of the whole", transferFile, "store.CombineDigests(m.digestsWithReceived()) == r.GetDigest()", "int(r.GetNumber())+1 == int(r.GetCount())"},
	{"no state is installed once another view is promised", transferFile, "if m.promised <= m.Epoch() && store.CombineDigests", "if store.CombineDigests"},
	{"writes under way do not count for a state that replaced theirs", diskFile, "	m.durable = 0\n	for i := range m.disk.pending {\n		m.disk.pending[i].index = 0\n	}", "	_ = m.durable"},
	{"what is installed counts once it is on disk", consensusFile, "InstalledEpoch: m.disk.installedEpoch,", "InstalledEpoch: m.installedEpoch,"},
	{"after a failed write nothing on disk counts", diskFile, "	m.disk.failed = true\n", "	m.disk.failed = false\n"},

	{"a read is confirmed by a majority", confirmFile, "for len(c.pendingReads) > 0 && c.pendingReads[0].confirmed && c.pendingReads[0].index", "for len(c.pendingReads) > 0 && c.pendingReads[0].index"},
	{"a read waits for what it shows to be committed", confirmFile, "c.pendingReads[0].confirmed && c.pendingReads[0].index <= m.chain.committed", "c.pendingReads[0].confirmed"},
	{"who has promised another view confirms nothing", confirmFile, "Ok: m.promised <= c.GetEpoch() && !m.disk.failed", "Ok: true"},
	{"a confirmation answers the newest request", confirmFile, "r.GetEpoch() != m.Epoch() || r.GetRound() != c.sequence || !r.GetOk()", "r.GetEpoch() != m.Epoch() || !r.GetOk()"},
	{"a chain member that has restarted ends the view", electionFile, "if p := m.peers[id]; p != nil && p.restarted {", "if p := m.peers[id]; p != nil && false {"},
	{"a head without contact accepts nothing", chainFile, "m.Serving() && now-m.confirmations.confirmedAt <= contactTimeout && m.index", "m.Serving() && m.index"},

	{"orders go out once they are committed", schedulerFile, "len(s.batches) > 0 && s.batches[0].index <= s.committed", "len(s.batches) > 0"},
	{"a lease counts from the newest confirmation", leaseFile, "until := s.confirmedAt + s.cfg.Lease", "until := s.now + s.cfg.Lease"},
	{"a lost runner's leases have run out", leaseFile, "return expiry + time.Duration(maxClockDrift*float64(s.cfg.Lease)) + leaseMargin", "return expiry - s.cfg.Lease/2"},
	{"an update that was applied is recognised when it is repeated", requestsFile, "if s.updates.contains(digest) {", "if false {"},
	{"a job's ID is of one queue and content", requestsFile, "if j := s.jobs.Get(submission.GetId()); j != nil {\n		return s.resubmit(j, submission)", "if j := s.jobs.Get(submission.GetId()); j != nil {\n		return http.StatusOK, \"\""},
	{"an ID that was canceled before its job was accepted stays canceled", requestsFile, "if s.jobs.HasTombstone(submission.GetId()) {", "if false {"},
	{"room decides what fits, not tokens", feasibleFile, "return r.Usable && req.Demand.Fits(r.Free()) &&", "return r.Usable && r.tokens.Free >= r.tokensFor(req.Demand) && req.Demand.Fits(r.Free()) &&"},
	{"the time of day is agreed on", memberFile, "m.scheduler.Tick(now, m.clock.NowMs(now), m.replica.ConfirmedAt())", "m.scheduler.Tick(now, wallMs, m.replica.ConfirmedAt())"},

	{"orders of an older head are void", headFile, "if o.GetEpoch() < m.epoch || o.GetCompanion() != m.incarnation {", "if o.GetCompanion() != m.incarnation {"},
	{"orders for an earlier incarnation of the agent are void", headFile, "if o.GetEpoch() < m.epoch || o.GetCompanion() != m.incarnation {", "if o.GetEpoch() < m.epoch {"},
	{"orders of an earlier session are void", headFile, "if o.GetSession() < m.session {", "if false {"},
	{"orders after a gap are not applied", headFile, "if !o.GetFull() && (!m.fullSyncDone || o.GetSequence() > m.appliedSequence+1) {", "if false {"},
	{"a lease counts from the sending of its request", headFile, "requestedAt, ok := m.leaseRequestedAt[o.GetLeaseRound()]", "_, ok := m.leaseRequestedAt[o.GetLeaseRound()]\n	requestedAt := m.now"},
	{"a run lease ends within the lease of its agent", agentFile, "response.RunLease = min(m.cfg.MaxRunLease, remaining)", "response.RunLease = m.cfg.MaxRunLease"},
	{"a runner that deregisters has not ended", agentFile, "	m.runner.deregistered = true\n", "	m.removeRunner(m.runner)\n	return\n"},
	{"a silent runner's run leases have expired", headFile, "if m.now > r.runLeaseExpiry {", "if m.now > r.lastContact+time.Second {"},
	{"a delayed heartbeat of a runner is ignored", agentFile, "if heartbeat.Sequence < r.sequence {", "if false {"},
	{"a run that has ended beyond the listed ends is not refused", agentFile, "return len(h.Finished) < maxListedEnds", "return true"},
	{"starts in a response have a bound", sizeFile, "maxStartsBytes = 2 << 20", "maxStartsBytes = 1 << 40"},
	{"one refused health check is not enough", agentFile, "if r.refusedChecks++; r.refusedChecks >= minRefusedChecks {", "if r.refusedChecks++; r.refusedChecks >= 1 {"},
}
