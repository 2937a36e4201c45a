// Package neterr classes the errors of system calls on sockets by what they say of the peer, of this
// machine and of the one connection, as Linux documents them (accept(2), connect(2), ip(7), tcp(7)).
package neterr

import (
	"errors"
	"syscall"
)

// localErrors are errors of this machine that pass by themselves: descriptors, memory, ports or a
// signal. They say nothing of the peer.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR}

// networkErrors are errors that a network or a peer that has just begun to end may give for a moment.
var networkErrors = []error{syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPROTO}

// listenerErrors are errors of a listener that no further accept will get past.
var listenerErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Local tells whether an error of socket or connect is this machine's own and says nothing of the
// peer.
func Local(err error) bool { return isAny(err, localErrors) }

// Retryable tells whether a dial that failed so may well come up a moment later.
func Retryable(err error) bool { return isAny(err, localErrors) || isAny(err, networkErrors) }

// EndsListener tells whether a listener is of no use after an error of accept. All others, those
// of the connection that was accepted among them (accept(2) passes them on), are to be tried again.
func EndsListener(err error) bool { return isAny(err, listenerErrors) }

func isAny(err error, of []error) bool {
	for _, e := range of {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
