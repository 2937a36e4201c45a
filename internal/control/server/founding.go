package server

import (
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/nodefile"
	"frosttide/internal/protocol"
)

// foundingMembers returns the members of view 0: the seeds of a system that is bootstrapped. It
// returns nil if the settings don't ask for a bootstrap, if this process is not a seed, or if a
// seed is not of the form host:port.
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

// founderID returns the identity of a founding member. It is derived from the member's Control
// address so that all founding members agree on view 0 without communication.
func founderID(control string) uint64 { return xxhash.Sum64String("founder " + control) }
