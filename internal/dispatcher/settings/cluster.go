package settings

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
)

// maxVoters is the maximum number of voters. It is bounded because each write waits for a majority
// of them.
const maxVoters = 7

// checkCluster reports missing and contradictory values of the tables cluster, recovery and
// workflow.
func (r *reader) checkCluster() {
	c := r.cluster()
	r.checkRecovery(&c)
	if c.Listen == "" {
		for _, key := range []string{"advertise", "join", "voters", "dir", "discovery"} {
			if r.parsed["cluster."+key] != nil {
				r.addError("cluster.listen", "it is missing, and cluster."+key+" is there")
				return
			}
		}
		return
	}
	for key, addr := range map[string]string{"listen": c.Listen, "advertise": c.Advertise} {
		r.checkMemberAddress(key, addr, &c)
	}
	for i, addr := range c.Join {
		if _, err := address(addr); err != nil {
			r.addError("cluster.join", fmt.Sprintf("item %d: %s", i+1, err))
		}
	}
	r.checkVoters(&c)
}

// checkRecovery reports values of the tables recovery and workflow whose prerequisites are not set.
func (r *reader) checkRecovery(c *Cluster) {
	if c.WatermarkDir != "" && c.Listen == "" {
		r.addError("recovery.keep", "it keeps what a cluster's log had led to, and there is no [cluster]")
	}
	if c.Workflows && c.Listen == "" {
		r.addError("workflow.enabled", "members agree on workflows, and there is no [cluster]")
	}
	if c.Workflows && !c.StagedRejoin {
		r.addError("workflow.enabled", "who may undo is told by the stages, and recovery.stages is false")
	}
	if c.WatermarkDir != "" && filepath.Clean(c.WatermarkDir) == filepath.Clean(c.Dir) {
		r.addError("recovery.keep", "it is cluster.dir itself, and would be lost with it")
	}
}

// checkMemberAddress reports an address that other members can't reach, and one outside the
// loopback network if plain_text is not set, because members communicate unencrypted.
func (r *reader) checkMemberAddress(key, addr string, c *Cluster) {
	if addr == "" {
		return
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return // reported when the key was parsed
	}
	ip := net.ParseIP(host)
	switch {
	case ip == nil:
		r.addError("cluster."+key, fmt.Sprintf("%q is no address of numbers", host))
	case ip.IsUnspecified() && (key == "advertise" || c.Advertise == ""):
		r.addError("cluster.advertise", "it has to say where others reach a dispatcher that listens everywhere")
	case !ip.IsLoopback() && !valueOf[bool](r, "cluster.plain_text"):
		r.addError("cluster."+key, "members talk in plain text; say plain_text = true where that is meant")
	}
}

// checkVoters reports an invalid number of voters, and a missing directory if this member is a
// voter.
func (r *reader) checkVoters(c *Cluster) {
	switch n := len(c.Voters); {
	case n == 0:
		r.addError("cluster.voters", "it is missing; name one, three or five members")
	case n%2 == 0:
		r.addError("cluster.voters", fmt.Sprintf("%d voters bear no more losses than %d; name an odd number", n, n-1))
	case n > maxVoters:
		r.addError("cluster.voters", fmt.Sprintf("%d are too many, %d is the most", n, maxVoters))
	}
	name := valueOf[string](r, "name")
	if slices.Contains(c.Voters, name) && c.Dir == "" {
		r.addError("cluster.dir", fmt.Sprintf("it is missing, and %q votes: what it acknowledges has to be on disk", name))
	}
}
