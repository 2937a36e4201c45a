package server

import (
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/nodefile"
	"frosttide/internal/protocol"
)

// foundingMembers returns the members of view 0, which are the seeds of a system that starts for the first time. It
// returns nil unless the settings name this process as one of them.
func foundingMembers(settings *nodefile.File) (founders []*protocol.Member) {
	if !settings.Bootstrap || !slices.Contains(settings.Seeds, settings.ListenAddrs.Control) {
		return nil
	}
	for i, seed := range slices.Sorted(slices.Values(settings.Seeds)) {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil
		}
		founders = append(founders, &protocol.Member{
			Id:      founderID(seed),
			Number:  uint32(i + 1),
			Address: settings.InternalAddress(host, 0),
			Control: seed,
		})
	}
	return founders
}

// founderID returns the identity of a founder. It follows from the founder's Control address, so that all founders
// agree on view 0 without a message.
func founderID(control string) uint64 { return xxhash.Sum64String("founder " + control) }
