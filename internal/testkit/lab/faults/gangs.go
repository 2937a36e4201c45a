package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangRun is a gang that a script has sent, with the outcome of its parts.
type gangRun struct {
	mu       sync.Mutex
	sent     time.Time
	parts    int
	served   int
	failures []string
	ended    time.Time
}

// reportEvery is the interval at which stand-in runners report the progress of a part.
const reportEvery = 100 * time.Millisecond

// sendGang has clients send the parts of a gang through members in turn.
func (r *scriptRun) sendGang(w []string) error {
	if len(w) != 6 || w[4] != "at" {
		return errors.New("gang ID PARTS WORK at WHO is wanted")
	}
	of, err := strconv.Atoi(w[2])
	if err != nil || of < 1 || of > 64 {
		return fmt.Errorf("%q is not from 1 to 64", w[2])
	}
	work, err := time.ParseDuration(w[3])
	if err != nil {
		return err
	}
	who, err := r.resolveMembers(w[5])
	if err != nil {
		return err
	}
	g := &gangRun{sent: time.Now(), parts: of}
	r.gangs[w[1]] = g
	for n := 1; n <= of; n++ {
		m := who[n%len(who)]
		r.sending.Go(func() {
			status, text := r.sendPart(m, w[1], n, of, work)
			g.mu.Lock()
			defer g.mu.Unlock()
			if status == http.StatusOK {
				g.served++
			} else {
				g.failures = append(g.failures, fmt.Sprintf("part %d was answered %d %s", n, status, text))
			}
			if g.served == of {
				g.ended = time.Now()
			}
		})
	}
	return nil
}

// sendPart sends one part and returns the status, 0 for no answer, and the text of its answer.
func (r *scriptRun) sendPart(m *member, gang string, n, of int, work time.Duration) (int, string) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(stepTime))
	defer cancel()
	id := fmt.Sprintf("%s.gang-%s-%d", m.name, gang, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.clientAddr+"/reel/"+fmt.Sprint(work.Microseconds()), strings.NewReader("frames"))
	if err != nil {
		return 0, err.Error()
	}
	for k, v := range map[string]string{"X-Qos": "reel", "X-Trace-Id": id, "X-Expires-In-Ms": fmt.Sprint(stepTime.Milliseconds()), "X-Gang": gang,
		"X-Gang-Part": fmt.Sprintf("%d/%d", n, of), "X-Size-Hint": fmt.Sprint(work.Microseconds())} {
		req.Header.Set(k, v)
	}
	resp, err := r.fleet.http.Transport.RoundTrip(req) // the client's own timeout is shorter
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
	return resp.StatusCode, string(text)
}

// awaitGang waits until all parts of a gang are served, and logs how long that took from their
// sending. More than the bound is an error.
func (r *scriptRun) awaitGang(id string, within time.Duration) error {
	g := r.gangs[id]
	if g == nil {
		return fmt.Errorf("there is no gang %q", id)
	}
	err := r.retryUntil(func() error {
		g.mu.Lock()
		defer g.mu.Unlock()
		if len(g.failures) > 0 || !g.ended.IsZero() {
			return nil
		}
		return fmt.Errorf("%d of %d parts are served", g.served, g.parts)
	})
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.failures) > 0 {
		return errors.New(strings.Join(g.failures, "; "))
	}
	took := g.ended.Sub(g.sent)
	r.logf("gang %s took %.1f s, %d copies so far", id, took.Seconds(), r.fleet.runners.copied())
	if took > within {
		return fmt.Errorf("it took %s", took.Round(time.Millisecond))
	}
	return nil
}

// runPart has a runner execute a part of a gang: it reports the start and the progress, and ends
// early on cancellation.
func (s *runners) runPart(uid, member, id string, work time.Duration) {
	s.mu.Lock()
	times := max(s.slowdown[uid], 1)
	key := id + "@" + uid
	over := make(chan struct{})
	s.parts[key] = over
	s.attempts[id]++
	s.mu.Unlock()
	s.report(member, map[string]any{"id": id, "from": uid, "state": "started"})
	began, all := time.Now(), time.Duration(float64(work)*times)
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		share := float64(time.Since(began)) / float64(all)
		s.mu.Lock()
		hangs := s.hung[uid]
		s.mu.Unlock()
		switch {
		case hangs:
		case share >= 1:
			s.report(member, map[string]any{"id": id, "from": uid, "state": "done", "result": "done by " + uid})
			return
		default:
			s.report(member, map[string]any{"id": id, "from": uid, "state": "running", "share": share})
		}
	}
}

// cancelPart cancels a part at a runner.
func (s *runners) cancelPart(uid, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if over := s.parts[id+"@"+uid]; over != nil {
		close(over)
		delete(s.parts, id+"@"+uid)
	}
}

// copied returns how many copies of parts were sent beyond the first sending of each.
func (s *runners) copied() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.attempts {
		n += t - 1
	}
	return n
}

// setPartSpeed executes lag, hang and unhang: it slows a runner down by a factor, or stops or
// resumes its work on parts.
func (r *scriptRun) setPartSpeed(w []string) error {
	if !slices.Contains(r.fleet.uids, w[1]) {
		return fmt.Errorf("there is no runner %q", w[1])
	}
	s := r.fleet.runners
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung[w[1]] = w[0] == "hang"
	if w[0] == "lag" {
		times, err := strconv.ParseFloat(w[2], 64)
		if err != nil {
			return err
		}
		s.slowdown[w[1]] = times
	}
	return nil
}
