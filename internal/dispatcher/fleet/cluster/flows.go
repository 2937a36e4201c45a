package cluster

import (
	"slices"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// Flows shows the workflows that members agree on; they must not be kept or changed.
func (c *Cluster) Flows(show func(*statetable.Table)) { c.quorum.Flows(show) }

// Seen is how far they go, as the index of an entry.
func (c *Cluster) Seen() uint64 { return c.quorum.Seen() }

// Rank is this member's place among those that have come back in full, in an order that all
// draw alike from a name; -1 where it has not itself.
func (c *Cluster) Rank(name string) int {
	order := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool {
		return i.Leaving || i.Draining || !stage.Stage(i.Stage).Rights().RunsWorkflows
	})
	rankMembers(name, order)
	return slices.IndexFunc(order, func(i members.Info) bool { return i.Name == c.cfg.Name })
}
