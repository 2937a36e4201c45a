package size

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// dispatcherPort lies below the ports that the kernel gives to whoever asks for any. Guards the dispatcher's address
// between its choice and the dispatcher's start: a listener at all addresses or a connection of this process or another
// took it now and then, the dispatcher ended, and the workers' listener answered its health check.
const dispatcherPort = 8081

// addressAttempts bounds how many addresses are tried.
const addressAttempts = 100

// dispatcherAddress returns a loopback address at which nobody listens.
func dispatcherAddress() (string, error) {
	for range addressAttempts {
		addr := fmt.Sprintf("127.24.%d.%d:%d", rand.IntN(256), 1+rand.IntN(254), dispatcherPort)
		if l, err := net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no loopback address is free for the dispatcher")
}
