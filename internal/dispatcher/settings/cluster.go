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
	Listen    string   // empty for a dispatcher on its own
	Advertise string   // where others reach it; empty for the same
	Join      []string // addresses of others
	Voters    []string // names of those who keep the log
	Dir       string   // of this one's part of the log
	Discovery string   // names whose versions the list counts by; empty for its address
	Keep      string   // a folder apart from Dir that keeps how far the log had gone; empty for none
	Stages    bool     // it comes back by stages (recovery/stage)
	Workflows bool     // workflows are undone that end half way
	Undos     int      // at once, here
	Paced     bool     // and lets jobs in by a door that opens with what is served
}

func (r *reader) cluster() Cluster {
	return Cluster{Listen: own[string](r, "cluster.listen"), Advertise: own[string](r, "cluster.advertise"),
		Join: r.texts("cluster.join"), Voters: r.texts("cluster.voters"), Dir: own[string](r, "cluster.dir"),
		Discovery: own[string](r, "cluster.discovery"), Keep: own[string](r, "recovery.keep"),
		Stages: own[bool](r, "recovery.stages"), Paced: own[bool](r, "recovery.paced"),
		Workflows: own[bool](r, "workflow.enabled"), Undos: int(own[int64](r, "workflow.undos_at_once"))}
}

func (r *reader) gang() Gang {
	return Gang{Enabled: own[bool](r, "gang.enabled"), Every: own[time.Duration](r, "gang.reports_every"), Copies: own[bool](r, "gang.copies")}
}

func (r *reader) texts(key string) (out []string) {
	list, _ := r.own[key].([]any)
	for _, v := range list {
		out = append(out, v.(string))
	}
	return out
}

// mostVoters is the most members that a write has to wait for a majority of.
const mostVoters = 7

// clusterMistakes finds what does not go together.
func (r *reader) clusterMistakes() {
	c := r.cluster()
	if c.Keep != "" && c.Listen == "" {
		r.wrong("recovery.keep", "it keeps what a cluster's log had led to, and there is no [cluster]")
	}
	if c.Workflows && c.Listen == "" {
		r.wrong("workflow.enabled", "members agree on workflows, and there is no [cluster]")
	}
	if c.Workflows && !c.Stages {
		r.wrong("workflow.enabled", "who may undo is told by the stages, and recovery.stages is false")
	}
	if c.Keep != "" && filepath.Clean(c.Keep) == filepath.Clean(c.Dir) {
		r.wrong("recovery.keep", "it is cluster.dir itself, and would be lost with it")
	}
	if c.Listen == "" {
		for _, key := range []string{"advertise", "join", "voters", "dir", "discovery"} {
			if r.own["cluster."+key] != nil {
				r.wrong("cluster.listen", "it is missing, and cluster."+key+" is there")
				return
			}
		}
		return
	}
	plain := own[bool](r, "cluster.plain_text")
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
			r.wrong("cluster."+key, fmt.Sprintf("%q is no address of numbers", host))
		case ip.IsUnspecified() && (key == "advertise" || c.Advertise == ""):
			r.wrong("cluster.advertise", "it has to say where others reach a dispatcher that listens everywhere")
		case !ip.IsLoopback() && !plain:
			r.wrong("cluster."+key, "members talk in plain text; say plain_text = true where that is meant")
		}
	}
	for i, addr := range c.Join {
		if _, err := address(addr); err != nil {
			r.wrong("cluster.join", fmt.Sprintf("item %d: %s", i+1, err))
		}
	}
	name := own[string](r, "name")
	switch n := len(c.Voters); {
	case n == 0:
		r.wrong("cluster.voters", "it is missing; name one, three or five members")
	case n%2 == 0:
		r.wrong("cluster.voters", fmt.Sprintf("%d voters bear no more losses than %d; name an odd number", n, n-1))
	case n > mostVoters:
		r.wrong("cluster.voters", fmt.Sprintf("%d are too many, %d is the most", n, mostVoters))
	}
	if slices.Contains(c.Voters, name) && c.Dir == "" {
		r.wrong("cluster.dir", fmt.Sprintf("it is missing, and %q votes: what it acknowledges has to be on disk", name))
	}
}
