package faults

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frosttide/internal/testkit/lab"
)

// Writes is the result of MeasureWrites.
type Writes struct {
	Rate   float64                 // acknowledged orders a second
	Times  *hdrhistogram.Histogram // of acknowledged orders, in microseconds
	Failed int                     // orders that were not acknowledged
}

// startFleet starts a fleet and waits until its log has all its voters, unless the members are
// standalone. The caller closes the fleet.
func startFleet(s *Script, program Program, dir string) (*scriptRun, error) {
	f, err := openFleet(s, program, dir)
	if err != nil {
		return nil, err
	}
	r := &scriptRun{script: s, fleet: f, began: time.Now(), names: map[string][]*member{}, observer: newObserver(), result: &Result{}}
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			f.close()
			return nil, err
		}
	}
	if !s.Alone {
		err = r.await([]string{"begun"})
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return r, nil
}

// MeasureWrites has concurrent operators exclude and include runners, each at one member, for the
// given length. Any error comes from starting the fleet.
func MeasureWrites(program Program, dir string, voters, operators int, length time.Duration) (*Writes, error) {
	r, err := startFleet(&Script{Members: voters, Voters: voters, Runners: operators, Zones: 1, Seed: 1}, program, dir)
	if err != nil {
		return nil, err
	}
	defer r.fleet.close()
	out := &Writes{Times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for i := range operators {
		m, uid := r.fleet.members[i%voters], r.fleet.uids[i]
		all.Go(func() {
			for n := 0; time.Since(began) < length; n++ {
				at := time.Now()
				said, _ := r.fleet.sendOrder(m, order{id: fmt.Sprintf("%s-%d", uid, n), uid: uid, exclude: n%2 == 0})
				took := time.Since(at)
				mu.Lock()
				if said == done {
					// Calls time out within its range.
					_ = out.Times.RecordValue(took.Microseconds())
				} else {
					out.Failed++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	out.Rate = float64(out.Times.TotalCount()) / time.Since(began).Seconds()
	return out, nil
}

// MeasureElections stops the leader the given number of times, by SIGKILL or SIGSTOP, and returns
// for each how long it took until an order succeeded at another member.
func MeasureElections(program Program, dir string, voters, times int, sig syscall.Signal) (out []time.Duration, err error) {
	r, err := startFleet(&Script{Members: voters, Voters: voters, Runners: 1, Zones: 1, Seed: 1}, program, dir)
	if err != nil {
		return nil, err
	}
	defer r.fleet.close()
	for n := range times {
		old, err := r.leader(r.running())
		if err != nil {
			return nil, err
		}
		at := time.Now()
		if sig == syscall.SIGSTOP {
			err = r.process([]string{"stall"}, old)
		} else {
			r.fleet.end(old, sig)
		}
		if err != nil {
			return nil, err
		}
		var other *member
		for _, m := range r.fleet.members {
			if m != old {
				other = m
			}
		}
		if err := r.retryUntil(func() error {
			if said, why := r.fleet.sendOrder(other, order{id: fmt.Sprint("again-", n), uid: r.fleet.uids[0], exclude: n%2 == 0}); said != done {
				return fmt.Errorf("not yet: %s", why)
			}
			return nil
		}); err != nil {
			return nil, err
		}
		out = append(out, time.Since(at))
		if sig == syscall.SIGSTOP {
			err = r.process([]string{"wake"}, old)
		} else {
			err = r.fleet.start(old)
		}
		if err == nil {
			err = r.await([]string{"begun"})
		}
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Cost is the result of MeasureCost.
type Cost struct {
	CPU      time.Duration // a job, of all members
	P50, P99 time.Duration // latency of the answers
	Served   float64       // share of the jobs that were sent
}

// MeasureCost sends each member rate jobs a second for the given length. The members are standalone
// or form a cluster.
func MeasureCost(program Program, dir string, members int, alone bool, class string, rate float64, length time.Duration, seed uint64) (*Cost, error) {
	r, err := startFleet(&Script{Members: members, Voters: members, Runners: 2 * members, Zones: 1, Seed: seed, Alone: alone}, program, dir)
	if err != nil {
		return nil, err
	}
	defer r.fleet.close()
	for _, m := range r.fleet.members {
		if err := r.retryUntil(func() error {
			c := client{member: m.name, addr: m.clientAddr, http: r.fleet.http}
			if got := c.job(context.Background(), "render", fmt.Sprintf("%s.first-%d", m.name, time.Now().UnixNano()), ""); got != 200 {
				return fmt.Errorf("%s answers %d", m.name, got)
			}
			return nil
		}); err != nil {
			return nil, err
		}
	}
	var before time.Duration
	sum := func() (all time.Duration, err error) {
		for _, m := range r.fleet.members {
			cpu, err := lab.CPU(m.cmd.Process.Pid)
			if err != nil {
				return 0, err
			}
			all += cpu
		}
		return all, nil
	}
	if before, err = sum(); err != nil {
		return nil, err
	}
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var sent, served int64
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, m := range r.fleet.members {
		load := lab.Load{Addr: m.clientAddr, Class: class, Rate: rate, For: length, Patient: jobPatience, Seed: seed, Most: 1000, Name: m.name, Keyed: class != "render"}
		all.Go(func() {
			got := load.Run(context.Background())
			mu.Lock()
			defer mu.Unlock()
			times.Merge(got.Times)
			sent += got.Sent
			served += got.Served
		})
	}
	all.Wait()
	after, err := sum()
	if err != nil {
		return nil, err
	}
	return &Cost{CPU: (after - before) / time.Duration(max(sent, 1)), P50: time.Duration(times.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(times.ValueAtQuantile(99)) * time.Microsecond, Served: float64(served) / float64(max(sent, 1))}, nil
}
