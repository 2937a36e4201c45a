package scale

import (
	"errors"
	"fmt"
	"net"

	"frosttide/internal/testkit/lab/simulatedmembers"
)

// loopbackNetwork is a loopback network (127.Number.0.0/16) that this run holds for its members.
// Runs of other processes pass over it until it is closed.
type loopbackNetwork struct {
	Number int
	held   net.Listener
}

// Close gives the network up. It returns the error of closing the listener that held it.
func (n *loopbackNetwork) Close() error { return n.held.Close() }

// holdNetwork takes the first network that no other run holds and in which nobody listens at a
// member's address. The listener stays open for the run: an address that is only probed and then
// released would be taken by two processes that begin at the same moment.
func holdNetwork() (*loopbackNetwork, error) {
	for number := network; number < network+networks; number++ {
		held, err := net.Listen("tcp4", fmt.Sprintf("127.%d.251.1:7946", number))
		if err != nil {
			continue
		}
		if membersListen(number) {
			held.Close()
			continue
		}
		return &loopbackNetwork{Number: number, held: held}, nil
	}
	return nil, errors.New("members: all networks for them are in use")
}

// membersListen tells whether somebody listens at the first member's address of a network.
func membersListen(number int) bool {
	l, err := net.Listen("tcp4", simulatedmembers.Config{Count: 1, Network: number}.Addrs(1)[0])
	if err != nil {
		return true
	}
	l.Close()
	return false
}
