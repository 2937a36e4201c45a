package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/replica"
)

// longestKey is how long a key may be to be told as it is; a longer one is told by its digest.
const longestKey = 160

// fates tells the others of keyed jobs in terms of names, as numbers differ between members.
type fates struct{ *others }

// name is what a job's key goes by among members.
func (f fates) name(job *core.Job) string {
	key := job.Key
	if len(key) > longestKey {
		key = fmt.Sprintf("%s %016x %d", key[:longestKey/2], xxhash.Sum64String(key), len(key))
	}
	return (*f.classes.Load())[job.Class] + "/" + key
}

func groupText(g core.Fate) string { return g.Zone + "#" + strconv.Itoa(g.Cell) }

func parseGroup(text string) core.Fate {
	zone, cell, _ := strings.Cut(text, "#")
	if i := strings.LastIndex(text, "#"); i >= 0 {
		zone, cell = text[:i], text[i+1:]
	}
	n, _ := strconv.Atoi(cell) // of a member that says it otherwise: 0
	return core.Fate{Zone: zone, Cell: n}
}

// Ask tells where a job has been sent.
func (f fates) Ask(job *core.Job, told func([]core.Fate)) {
	m := f.now()
	if m == nil {
		told(nil)
		return
	}
	m.Ask(f.name(job), job.Deadline, func(facts []replica.Fact) {
		var out []core.Fate
		for _, fact := range facts {
			g := parseGroup(fact.Scope)
			g.Age = max(m.Now()-time.Duration(fact.At)*time.Millisecond, 0)
			out = append(out, g)
		}
		told(out)
	})
}

// Sending makes known that a job is about to go to a runner of a group.
func (f fates) Sending(job *core.Job, group core.Fate, left time.Duration, send func()) {
	f.say(job, group, replica.Sent, left, "", send)
}

// Free makes known that it surely never ran there.
func (f fates) Free(job *core.Job, group core.Fate) {
	f.say(job, group, replica.Free, 0, "", nil)
}

// Done makes known that it was done there.
func (f fates) Done(job *core.Job, group core.Fate, left time.Duration, result []byte) {
	f.say(job, group, replica.Done, left, fmt.Sprintf("%016x", xxhash.Sum64(result)), nil)
}

func (f fates) say(job *core.Job, group core.Fate, state replica.State, left time.Duration, sum string, then func()) {
	m := f.now()
	if m == nil {
		if then != nil {
			then()
		}
		return
	}
	m.Tell(cluster.Fate{Name: f.name(job), Group: groupText(group)}, state, left, sum, job.Deadline, then)
}
