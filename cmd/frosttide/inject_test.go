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

// These environment variables inject faults into the started program that no peer can cause. The
// rest of the program is the real one.
const (
	// Path of a file. Dials to runners block while it exists.
	envBlockedDials = "FROSTTIDE_TEST_HELD_DIALS"
	// Comma-separated errno values that the first dials and the first accepts fail with.
	envDialErrors = "FROSTTIDE_TEST_DIAL_ERRORS"
	envAccept     = "FROSTTIDE_TEST_ACCEPT"

	// Path of a file with a connFault for the next read or write on a connection to a runner.
	envBackendFault = "FROSTTIDE_TEST_BACKEND_FAULT"
	// The same for an accepted connection.
	envClientFault = "FROSTTIDE_TEST_CLIENT_FAULT"
)

// waitingSuffix is appended to the path in envBlockedDials. The resulting file is created when a
// dial blocks.
const waitingSuffix = ".waiting"

// injectFaults installs the faults that the environment variables select.
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
			return &failingListener{Listener: l, errs: parseErrnos(numbers)}, err
		}
	}
}

// blockingDial returns a dial function that blocks until the file at path is removed or the
// deadline passes. While it blocks it creates path+waitingSuffix.
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

// parseErrnos returns the errors for a comma-separated list of errno values.
func parseErrnos(numbers string) (errs []error) {
	for text := range strings.SplitSeq(numbers, ",") {
		n, _ := strconv.Atoi(text)
		errs = append(errs, os.NewSyscallError("injected", syscall.Errno(n)))
	}
	return errs
}

// failingDial returns a dial function that fails with each error once and then dials.
func failingDial(numbers string) egress.Dial {
	remaining := make(chan error, 64)
	for _, err := range parseErrnos(numbers) {
		remaining <- err
	}
	return func(network, addr string, deadline time.Time) (net.Conn, error) {
		select {
		case err := <-remaining:
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		default:
			return (&net.Dialer{Deadline: deadline}).Dial(network, addr)
		}
	}
}

// failingListener is a listener whose Accept fails with each error once and then accepts.
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
