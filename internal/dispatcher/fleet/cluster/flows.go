package cluster

import (
	"slices"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// Flows calls view with the committed workflows; view must neither retain nor modify them.
func (c *Cluster) Flows(view func(*statetable.Table)) { c.quorum.Flows(view) }

// Seen returns the index of the last log entry that Flows reflects.
func (c *Cluster) Seen() uint64 { return c.quorum.Seen() }

// Rank returns this member's position, from 0, in the order of the members that may run workflows,
// which all members compute alike for a name (rendezvous hashing); -1 if it may not run workflows,
// because it is leaving, draining or has not fully rejoined.
func (c *Cluster) Rank(name string) int {
	eligible := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool {
		return i.Leaving || i.Draining || !stage.Stage(i.Stage).Rights().RunsWorkflows
	})
	rankMembers(name, eligible)
	return slices.IndexFunc(eligible, func(i members.Info) bool { return i.Name == c.cfg.Name })
}
