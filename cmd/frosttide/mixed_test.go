package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"frosttide/internal/dispatcher/gearman/proto"
	"frosttide/internal/testkit/lab/rules"
	"frosttide/internal/testkit/standin/gearman"
)

// mixedLoad is a load test with faults, whose clients and workers use HTTP or both HTTP and
// Gearman.
type mixedLoad struct {
	*gearmanFixture
	check   *rules.Checker
	stop    chan struct{} // closed once all clients have finished
	clients sync.WaitGroup
	workers sync.WaitGroup // also reports that are still being sent
}

// mixedJobTime is how long a worker takes for a job.
const mixedJobTime = 5 * time.Millisecond

// mixedClasses holds the effects of the request classes for the checker.
var mixedClasses = map[string]rules.Class{"render": {}, "release": {Effect: rules.Keyed, Window: 40 * time.Second}, "once": {Effect: rules.Unsafe}}

// mixedFunctions maps the request classes to Gearman functions.
var mixedFunctions = map[string]string{"render": "cut", "release": "out", "once": "post"}

// drawEnding draws how a job ends at a worker: 37 of 40 succeed.
func drawEnding(rng *rand.Rand) string {
	switch n := rng.IntN(40); n {
	case 0:
		return "fail"
	case 1:
		return "drop before the end"
	case 2:
		return "drop after the effect"
	default:
		return "done"
	}
}

// httpRunner answers the requests to an HTTP runner until stop is closed.
func (m *mixedLoad) httpRunner(r *runner, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case h := <-r.requests:
			if h.answerIfNotJob() {
				continue
			}
			m.check.Sent(r.uid, mixedJobTime, time.Now())
			key := h.Header.Get("Idempotency-Key")
			switch end := drawEnding(rng); end {
			case "drop before the end":
				h.conn.Close()
			case "drop after the effect":
				m.check.Ran(h.id(), key, "a", time.Now())
				h.conn.Close()
			default:
				m.check.Ran(h.id(), key, "a", time.Now())
				h.reply(202, "")
				m.workers.Go(func() {
					time.Sleep(mixedJobTime) // the job runs
					state := "done"
					if end == "fail" {
						state = "failed"
					}
					m.tryReport(jobEvent(h.id(), r.uid, state))
				})
			}
		case <-m.stop:
			return
		}
	}
}

// gearmanWorker runs a Gearman worker until stop is closed. It reconnects when its connection has
// ended.
func (m *mixedLoad) gearmanWorker(name string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for connection := 0; ; connection++ {
		select {
		case <-m.stop:
			return
		default:
		}
		p, err := gearman.Dial(m.gearmanFixture.jobs, time.Now().Add(testTimeout), nil)
		if err != nil {
			return
		}
		served := make(chan struct{})
		go func() { // interrupts the wait for a job when the test stops
			select {
			case <-m.stop:
				p.Close()
			case <-served:
			}
		}()
		m.serve(p, fmt.Sprintf("%s-%d", name, connection), rng)
		close(served)
		p.Close()
	}
}

// serve runs the jobs that arrive on one connection until it ends.
func (m *mixedLoad) serve(p *gearman.Peer, name string, rng *rand.Rand) {
	if p.Announce(name, "cut", "out", "post") != nil {
		return
	}
	for {
		job, err := p.Grab()
		if err != nil {
			return
		}
		m.check.Sent("g-"+name, mixedJobTime, time.Now())
		key := ""
		if job.Function == "out" {
			key = job.Unique
		}
		end := drawEnding(rng)
		if end == "drop before the end" {
			return
		}
		m.check.Ran(job.Unique, key, "a", time.Now())
		if end == "drop after the effect" {
			return
		}
		time.Sleep(mixedJobTime) // the job runs
		kind, result := proto.WorkComplete, "clip"
		if end == "fail" {
			err = p.Send(proto.WorkFail, job.Handle)
		} else {
			err = errors.Join(p.Send(proto.WorkStatus, job.Handle, "1", "2"), p.Send(kind, job.Handle, result))
		}
		if err != nil {
			return
		}
	}
}

// httpClient sends jobs over HTTP one after the other.
func (m *mixedLoad) httpClient(number, jobs int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range jobs {
		class := []string{"render", "release", "once"}[i%3]
		id := fmt.Sprintf("h%d-%d", number, i)
		req := m.jobRequest(class, id, func(r *http.Request) {
			r.Header.Set("X-Expires-In-Ms", "5000")
			if class == "release" {
				r.Header.Set("Idempotency-Key", id)
			}
		})
		m.check.Submitted(id, class, time.Now().Add(5*time.Second))
		a := do(client, req)
		switch {
		case a.Err != nil:
			m.check.Answered(id, rules.Lost, time.Now())
		case a.Status == 200:
			m.check.Answered(id, rules.Served, time.Now())
		case a.Status == 503:
			m.check.Answered(id, rules.Refused, time.Now())
			time.Sleep(mixedJobTime) // about as long as the refusal asks for
		default:
			m.check.Answered(id, rules.Failed, time.Now())
		}
	}
}

// gearmanClient sends jobs over Gearman one after the other.
func (m *mixedLoad) gearmanClient(number, jobs int) {
	p, err := gearman.Dial(m.gearmanFixture.jobs, time.Now().Add(testTimeout), nil)
	if err != nil {
		m.t.Error(err)
		return
	}
	defer p.Close()
	for i := range jobs {
		class := []string{"render", "release", "once"}[i%3]
		id := fmt.Sprintf("g%d-%d", number, i)
		m.check.Submitted(id, class, time.Now().Add(20*time.Second))
		if err := p.Send(proto.SubmitJob, mixedFunctions[class], id, "frames of "+id); err != nil {
			m.check.Answered(id, rules.Lost, time.Now())
			return
		}
		answer, done := rules.Failed, false
		for !done {
			g, err := p.Next()
			if err != nil {
				m.check.Answered(id, rules.Lost, time.Now())
				return
			}
			switch g.Type {
			case proto.WorkWarning:
				if strings.HasPrefix(g.Args[1], "refused") {
					answer = rules.Refused
				}
			case proto.WorkComplete:
				answer, done = rules.Served, true
			case proto.WorkFail:
				done = true
			}
		}
		m.check.Answered(id, answer, time.Now())
		if answer == rules.Refused {
			time.Sleep(mixedJobTime) // about as long as the refusal asks for
		}
	}
}

// operator excludes a runner and includes it again, 8 times.
func (m *mixedLoad) operator(uid string) {
	for range 8 {
		code, _ := m.callConsole("PUT", "/api/exclude", fmt.Sprintf(`{"host":%q}`, uid))
		if code == 200 {
			m.check.Drains(uid, time.Now())
			time.Sleep(20 * mixedJobTime) // the runner stays excluded for a while
			m.check.Back(uid)
			m.callConsole("PUT", "/api/include", fmt.Sprintf(`{"host":%q}`, uid))
		}
		time.Sleep(10 * mixedJobTime)
	}
}

// TestMixedProtocols runs the same load over HTTP alone and over HTTP and Gearman together, and
// checks both against the same rules: no job is lost, no job runs twice that must not, and draining
// runners get no jobs.
func TestMixedProtocols(t *testing.T) {
	t.Parallel()
	for _, protocols := range []string{"HTTP", "both"} {
		t.Run(protocols, func(t *testing.T) {
			t.Parallel()
			runners := []*runner{newRunner(t, "s-1"), newRunner(t, "s-2"), newRunner(t, "s-3")}
			m := &mixedLoad{gearmanFixture: newGearman(t, "", runners...), stop: make(chan struct{}),
				check: rules.New(rules.Config{Classes: mixedClasses, Slack: 250 * time.Millisecond, Grace: 500 * time.Millisecond, Multiple: 2.5, Window: time.Second})}
			for i, r := range runners {
				m.workers.Go(func() { m.httpRunner(r, uint64(i)) })
			}
			if protocols == "both" {
				for i := range 6 {
					m.workers.Go(func() { m.gearmanWorker(fmt.Sprint("w", i), uint64(i)) })
				}
			}
			const clients, jobsPerClient = 6, 60
			for i := range clients {
				m.clients.Go(func() {
					if protocols == "both" && i%2 == 1 {
						m.gearmanClient(i, jobsPerClient)
					} else {
						m.httpClient(i, jobsPerClient)
					}
				})
			}
			m.clients.Go(func() { m.operator("s-1") })
			m.clients.Wait()
			close(m.stop)
			m.workers.Wait()
			r := m.check.Report(time.Now())
			if len(r.Broken) > 0 {
				t.Errorf("rules are broken:\n%s", strings.Join(r.Broken, "\n"))
			}
			if r.Jobs != clients*jobsPerClient || r.Served+r.Refused+r.Failed != r.Jobs || r.Served < r.Jobs/4 {
				t.Errorf("of %d jobs %d were served, %d refused, %d failed; want a result for every job and at least a quarter served", r.Jobs, r.Served, r.Refused, r.Failed)
			}
			t.Logf("%d jobs, %d sends: %d served, %d refused, %d failed", r.Jobs, r.Sends, r.Served, r.Refused, r.Failed)
		})
	}
}
