package settings

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"time"
)

// Cluster says which other dispatchers this one knows, and how it meets them.
type Cluster struct {
	Listen           string   // empty for a dispatcher on its own
	Advertise        string   // where others reach it; empty for the same
	Join             []string // addresses of others
	Voters           []string // names of those who keep the log
	Dir              string   // of this one's part of the log
	Discovery        string   // names whose versions the list counts by; empty for its address
	WatermarkDir     string   // a folder apart from Dir that keeps how far the log had gone; empty for none
	StagedRejoin     bool     // it comes back by stages (recovery/stage)
	Workflows        bool     // workflows are undone that end half way
	MaxCompensations int      // at once, here
	PacedAdmission   bool     // and lets jobs in by a door that opens with what is served
}

func (r *reader) cluster() Cluster {
	return Cluster{Listen: ownValue[string](r, "cluster.listen"), Advertise: ownValue[string](r, "cluster.advertise"),
		Join: r.ownStrings("cluster.join"), Voters: r.ownStrings("cluster.voters"), Dir: ownValue[string](r, "cluster.dir"),
		Discovery: ownValue[string](r, "cluster.discovery"), WatermarkDir: ownValue[string](r, "recovery.keep"),
		StagedRejoin: ownValue[bool](r, "recovery.stages"), PacedAdmission: ownValue[bool](r, "recovery.paced"),
		Workflows: ownValue[bool](r, "workflow.enabled"), MaxCompensations: int(ownValue[int64](r, "workflow.undos_at_once"))}
}

func (r *reader) gang() Gang {
	return Gang{Enabled: ownValue[bool](r, "gang.enabled"), ReportInterval: ownValue[time.Duration](r, "gang.reports_every"), Speculative: ownValue[bool](r, "gang.copies")}
}

func (r *reader) ownStrings(key string) (out []string) {
	list, _ := r.own[key].([]any)
	for _, v := range list {
		out = append(out, v.(string))
	}
	return out
}

// maxVoters is the most members that a write has to wait for a majority of.
const maxVoters = 7

// checkCluster finds what does not go together.
func (r *reader) checkCluster() {
	c := r.cluster()
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
	if c.Listen == "" {
		for _, key := range []string{"advertise", "join", "voters", "dir", "discovery"} {
			if r.own["cluster."+key] != nil {
				r.addError("cluster.listen", "it is missing, and cluster."+key+" is there")
				return
			}
		}
		return
	}
	plain := ownValue[bool](r, "cluster.plain_text")
	for key, addr := range map[string]string{"listen": c.Listen, "advertise": c.Advertise} {
		if addr == "" {
			continue
		}
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			continue // said already
		}
		ip := net.ParseIP(host)
		switch {
		case ip == nil:
			r.addError("cluster."+key, fmt.Sprintf("%q is no address of numbers", host))
		case ip.IsUnspecified() && (key == "advertise" || c.Advertise == ""):
			r.addError("cluster.advertise", "it has to say where others reach a dispatcher that listens everywhere")
		case !ip.IsLoopback() && !plain:
			r.addError("cluster."+key, "members talk in plain text; say plain_text = true where that is meant")
		}
	}
	for i, addr := range c.Join {
		if _, err := address(addr); err != nil {
			r.addError("cluster.join", fmt.Sprintf("item %d: %s", i+1, err))
		}
	}
	name := ownValue[string](r, "name")
	switch n := len(c.Voters); {
	case n == 0:
		r.addError("cluster.voters", "it is missing; name one, three or five members")
	case n%2 == 0:
		r.addError("cluster.voters", fmt.Sprintf("%d voters bear no more losses than %d; name an odd number", n, n-1))
	case n > maxVoters:
		r.addError("cluster.voters", fmt.Sprintf("%d are too many, %d is the most", n, maxVoters))
	}
	if slices.Contains(c.Voters, name) && c.Dir == "" {
		r.addError("cluster.dir", fmt.Sprintf("it is missing, and %q votes: what it acknowledges has to be on disk", name))
	}
}
