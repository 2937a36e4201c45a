// Package signalsoak provides the shared parts of the soak tests that run real processes: random
// schedules of signals, restarts and configuration changes, clients that keep using a connection
// until the other end closes it, and the rules by which they classify failed requests.
//
// A Schedule is a pure function of its Config, so a run can be repeated from its seed. It holds one
// list of restarts per target, carried out in sequence, and one list of signals and changes that
// overlap with all restarts. The tests of each program carry a schedule out: they know how its
// process is started and which responses are valid.
//
// A Client is for one goroutine. Its results may be read once Run has returned.
package signalsoak
