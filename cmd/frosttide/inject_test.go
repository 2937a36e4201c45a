package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"frosttide/internal/dispatcher/egress"
)

// Faults that no peer can cause are put into the started program here, by files and variables that
// the test names in its environment. The rest of the program is real.
const (
	envBlockedDials = "FROSTTIDE_TEST_HELD_DIALS"  // a file: dials to runners wait while it is there
	envDialErrors   = "FROSTTIDE_TEST_DIAL_ERRORS" // errors of the first dials, by number
	envAccept       = "FROSTTIDE_TEST_ACCEPT"      // errors of the first accepts, by number

	envBackendFault = "FROSTTIDE_TEST_BACKEND_FAULT" // a file: what the next read or write of a connection to a runner meets
	envClientFault  = "FROSTTIDE_TEST_CLIENT_FAULT"  // a file: the same of a connection that was accepted
)

// waitingSuffix ends the name of the file that shows that a dial waits.
const waitingSuffix = ".waiting"

// injectFaults puts in the faults that the environment names.
func injectFaults() {
	if path := os.Getenv(envBlockedDials); path != "" {
		dialRunner = blockingDial(path)
	}
	if numbers := os.Getenv(envDialErrors); numbers != "" {
		dialRunner = failingDial(numbers)
	}
	if path := os.Getenv(envBackendFault); path != "" {
		dialRunner = func(network, addr string, deadline time.Time) (net.Conn, error) {
			c, err := (&net.Dialer{Deadline: deadline}).Dial(network, addr)
			return withFaults(c, path), err
		}
	}
	if path := os.Getenv(envClientFault); path != "" {
		openListener = func(network, addr string) (net.Listener, error) {
			l, err := net.Listen(network, addr)
			return &faultyListener{Listener: l, path: path}, err
		}
	}
	if numbers := os.Getenv(envAccept); numbers != "" {
		openListener = func(network, addr string) (net.Listener, error) {
			l, err := net.Listen(network, addr)
			return &failingListener{Listener: l, errs: errnos(numbers)}, err
		}
	}
}

// blockingDial dials once a file is removed, and shows by another that it waits.
func blockingDial(path string) egress.Dial {
	return func(network, addr string, deadline time.Time) (net.Conn, error) {
		for {
			if _, err := os.Stat(path); err != nil {
				break
			}
			_ = os.WriteFile(path+waitingSuffix, nil, 0o600)
			if time.Now().After(deadline) {
				return nil, os.ErrDeadlineExceeded
			}
			time.Sleep(time.Millisecond)
		}
		return (&net.Dialer{Deadline: deadline}).Dial(network, addr)
	}
}

// errnos reads errors from their numbers.
func errnos(numbers string) (errs []error) {
	for text := range strings.SplitSeq(numbers, ",") {
		n, _ := strconv.Atoi(text)
		errs = append(errs, os.NewSyscallError("injected", syscall.Errno(n)))
	}
	return errs
}

// failingDial fails by each error once, and then dials.
func failingDial(numbers string) egress.Dial {
	left := make(chan error, 64)
	for _, err := range errnos(numbers) {
		left <- err
	}
	return func(network, addr string, deadline time.Time) (net.Conn, error) {
		select {
		case err := <-left:
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		default:
			return (&net.Dialer{Deadline: deadline}).Dial(network, addr)
		}
	}
}

// failingListener fails by each error once, and then accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
}
