package size

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// dispatcherPort is below the kernel's ephemeral port range, so that nothing else gets it between
// the choice of the dispatcher's address and the dispatcher's start. With an ephemeral port, a
// listener on all addresses or a connection of this or another process took it now and then; the
// dispatcher then exited, and the workers' listener answered its health check.
const dispatcherPort = 8081

// addressAttempts limits how many random addresses are tried.
const addressAttempts = 100

// dispatcherAddress returns the host and port of a loopback address that is not in use.
func dispatcherAddress() (string, error) {
	for range addressAttempts {
		addr := fmt.Sprintf("127.24.%d.%d:%d", rand.IntN(256), 1+rand.IntN(254), dispatcherPort)
		if l, err := net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no loopback address is free for the dispatcher")
}
