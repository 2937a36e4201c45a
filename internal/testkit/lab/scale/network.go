package scale

import (
	"errors"
	"fmt"
	"net"

	"frosttide/internal/testkit/lab/simulatedmembers"
)

// loopbackNetwork is a loopback network (127.Number.0.0/16) that this run has reserved for its
// members. Runs of other processes skip it until it is closed.
type loopbackNetwork struct {
	Number      int
	reservation net.Listener
}

// Close releases the network. It returns the error of closing the listener that reserves it.
func (n *loopbackNetwork) Close() error { return n.reservation.Close() }

// reserveNetwork reserves the first network that no other run has reserved and in which the first
// member's address is free. Its listener stays open for the whole run: if it only probed an address
// and closed it again, two processes that start at the same time could both take the network.
func reserveNetwork() (*loopbackNetwork, error) {
	for number := firstNetwork; number < firstNetwork+networkCount; number++ {
		reservation, err := net.Listen("tcp4", fmt.Sprintf("127.%d.251.1:7946", number))
		if err != nil {
			continue
		}
		if addressInUse(number) {
			reservation.Close()
			continue
		}
		return &loopbackNetwork{Number: number, reservation: reservation}, nil
	}
	return nil, errors.New("members: all loopback networks for them are in use")
}

// addressInUse reports whether the first member's address of a network is in use.
func addressInUse(number int) bool {
	l, err := net.Listen("tcp4", simulatedmembers.Config{Count: 1, Network: number}.Addrs(1)[0])
	if err != nil {
		return true
	}
	l.Close()
	return false
}
