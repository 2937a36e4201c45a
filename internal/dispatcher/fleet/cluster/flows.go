package cluster

import (
	"slices"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// Flows calls show with the committed workflows. show must neither keep nor change them.
func (c *Cluster) Flows(show func(*statetable.Table)) { c.quorum.Flows(show) }

// Seen returns the index of the last entry that Flows reflects.
func (c *Cluster) Seen() uint64 { return c.quorum.Seen() }

// Rank returns this member's position among the fully rejoined members in the order that all
// members compute for a name (rendezvous hashing); -1 if it has not fully rejoined itself.
func (c *Cluster) Rank(name string) int {
	order := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool {
		return i.Leaving || i.Draining || !stage.Stage(i.Stage).Rights().RunsWorkflows
	})
	rankMembers(name, order)
	return slices.IndexFunc(order, func(i members.Info) bool { return i.Name == c.cfg.Name })
}
