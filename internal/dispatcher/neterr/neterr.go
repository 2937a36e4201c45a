// Package neterr classifies the errors of system calls on sockets by whether they are of the peer, of this machine or of
// the one connection, as Linux documents them (accept(2), connect(2), ip(7), tcp(7)). The servers and the connections to
// runners use it. It is safe for concurrent use.
package neterr

import (
	"errors"
	"syscall"
)

// localErrors are errors of this machine that end by themselves: it lacks descriptors, memory or ports, or a signal has
// come. They say nothing of the peer.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR}

// networkErrors are errors that a network, or a peer that is shutting down, may cause for a moment.
var networkErrors = []error{syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPROTO}

// listenerErrors are errors of a listener after which no accept succeeds.
var listenerErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Local reports whether an error of socket or connect is this machine's and says nothing of the peer.
func Local(err error) bool { return isAny(err, localErrors) }

// Retryable reports whether a dial that has failed by an error may succeed a moment later.
func Retryable(err error) bool { return isAny(err, localErrors) || isAny(err, networkErrors) }

// EndsListener reports whether a listener can't be used any more after an error of accept. All other errors are to be
// retried, among them those of the accepted connection, which accept(2) passes on.
func EndsListener(err error) bool { return isAny(err, listenerErrors) }

func isAny(err error, of []error) bool {
	for _, e := range of {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
