package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"frosttide/internal/cluster"
	"frosttide/internal/members"
)

// stepTime bounds each wait for an event; a script that has to wait longer is broken.
const stepTime = 30 * time.Second

// Result is what a run came to.
type Result struct {
	Timeline []string
	Broken   []string // rules and invariants; empty for none
	Logs     string   // the ends of the processes' logs, where something is broken
}

// Run plays a script with a program, in a folder of its own that exists and is empty.
func Run(s *Script, program Program, dir string) (*Result, error) {
	f, err := openFleet(s, program, dir)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &runner{script: s, fleet: f, began: time.Now(), names: map[string][]*member{}, watch: newWatch(), rng: rand.New(rand.NewPCG(s.Seed, 3)),
		result: &Result{}}
	f.runners.hold = true
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
	}
	err = r.steps()
	r.load(false)
	r.sending.Wait()
	if err == nil {
		err = r.final()
	}
	if err != nil {
		r.broken("%s", err)
	}
	r.check(err == nil)
	r.result.Broken = append(r.result.Broken, f.races()...)
	if len(r.result.Broken) > 0 {
		for _, m := range r.running() {
			if got, err := f.report(m); err == nil {
				text, _ := json.Marshal(map[string]any{"members": got.Members, "log": got.Log, "copies": got.Copies}) // plain values
				r.result.Logs += m.name + " " + string(text) + "\n"
			}
		}
		for _, m := range f.members {
			if m.log != nil {
				r.result.Logs += "--- " + m.name + "\n" + m.log.text(60) + "\n"
			}
		}
	}
	return r.result, nil
}

type runner struct {
	script *Script
	fleet  *fleet
	began  time.Time
	names  map[string][]*member // given by steps
	watch  *watch
	rng    *rand.Rand
	result *Result

	jobs    int
	sending sync.WaitGroup // clients of jobs that nobody waits for
}

func (r *runner) line(format string, args ...any) {
	r.result.Timeline = append(r.result.Timeline, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *runner) broken(format string, args ...any) {
	r.line("BROKEN "+format, args...)
	r.result.Broken = append(r.result.Broken, fmt.Sprintf(format, args...))
}

func (r *runner) steps() error {
	for _, s := range r.script.Steps {
		began := time.Now()
		if err := r.step(s); err != nil {
			return fmt.Errorf("%s:%d: %s: %w", r.script.Name, s.Line, s, err)
		}
		took := time.Since(began)
		r.line("%s (%d ms)", s, took.Milliseconds())
	}
	return nil
}

// who finds members.
func (r *runner) who(words string) ([]*member, error) {
	var out []*member
	for _, w := range strings.Split(words, ",") {
		switch w {
		case "all":
			out = append(out, r.fleet.members...)
			continue
		case "leader", "follower":
			l, err := r.leader(r.fleet.members)
			if err != nil {
				return nil, err
			}
			if w == "leader" {
				out = append(out, l)
				continue
			}
			for _, m := range r.fleet.members[:r.fleet.voters] {
				if m != l && m.up() && !m.stopped {
					out = append(out, m)
					break
				}
			}
			continue
		case "others": // all that the last given name is not
			for _, m := range r.fleet.members {
				if !slices.Contains(r.names["last"], m) {
					out = append(out, m)
				}
			}
			continue
		}
		if given := r.names[w]; given != nil {
			out = append(out, given...)
			continue
		}
		i := slices.IndexFunc(r.fleet.members, func(m *member) bool { return m.name == w })
		if i < 0 {
			return nil, fmt.Errorf("there is no member %q", w)
		}
		out = append(out, r.fleet.members[i])
	}
	return out, nil
}

// leader returns who leads by its own word, of those given, and in the latest term.
func (r *runner) leader(of []*member) (*member, error) {
	var lead *member
	err := r.until(func() error {
		lead = nil
		term := uint64(0)
		for _, m := range of {
			got, err := r.fleet.report(m)
			if err == nil && got.Log.Role == "leader" && got.Log.Term > term {
				lead, term = m, got.Log.Term
			}
		}
		if lead == nil {
			return errors.New("nobody leads")
		}
		return nil
	})
	return lead, err
}

// until waits for an event: it looks again as soon as it has looked, with a short pause that
// spares the processes it looks at.
func (r *runner) until(ok func() error) error {
	by := time.Now().Add(stepTime)
	for {
		err := ok()
		if err == nil {
			return nil
		}
		if time.Now().After(by) {
			return fmt.Errorf("after %s: %w", stepTime, err)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func numbers(list []*member) (out []int) {
	for _, m := range list {
		out = append(out, m.i)
	}
	return out
}

// step does one.
func (r *runner) step(s Step) error {
	w := s.Words
	switch w[0] {
	case "await":
		return r.await(w[1:])
	case "exclude", "include":
		return r.move(w)
	case "drain", "serve", "remove":
		return r.list(w[0], w[1])
	case "heal":
		r.fleet.net.set(numbers(r.fleet.members), numbers(r.fleet.members), func(l *link) { *l = link{kept: l.kept} })
		return nil
	case "break", "mend":
		r.fleet.runners.mu.Lock()
		defer r.fleet.runners.mu.Unlock()
		for _, uid := range strings.Split(w[1], ",") {
			r.fleet.runners.broken[uid] = w[0] == "break"
		}
		return nil
	case "job", "retry":
		return r.job(w)
	case "load":
		r.load(w[1] == "on")
		return nil
	case "flood":
		n, err := strconv.Atoi(w[1])
		for i := range min(n, 10_000) {
			r.fleet.catalog.change(i%len(r.fleet.uids), func(t *target) { t.Weight = 1 + (t.Weight+i)%7 })
		}
		return err
	}
	who, err := r.who(w[1])
	if w[0] == "leave" {
		who, err = r.who(w[3])
	}
	if err != nil {
		return err
	}
	if n := len(w); n >= 4 && w[n-2] == "as" {
		r.names[w[n-1]], r.names["last"] = who, who
	}
	switch w[0] {
	case "cut", "lossy", "slow", "reset":
		return r.between(w, who)
	case "hold", "release":
		for _, m := range who {
			r.fleet.catalog.hold(m.i, w[0] == "hold")
		}
		return nil
	case "mute", "speak":
		for _, m := range who {
			r.fleet.catalog.silence(m.i, w[0] == "mute")
		}
		return nil
	case "leave":
		name := w[1]
		if given := r.names[name]; len(given) > 0 {
			name = given[0].name
		}
		_, err := r.post(who[0], "/api/cluster/remove", fmt.Sprintf(`{"name":%q}`, name))
		if (err == nil) != (w[4] == "done") {
			return fmt.Errorf("it came to %v", err)
		}
		return nil
	}
	for _, m := range who {
		if err := r.process(w, m); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}

// between changes links.
func (r *runner) between(w []string, from []*member) error {
	to, err := r.who(w[3])
	if err != nil {
		return err
	}
	a, b := numbers(from), numbers(to)
	change := func(l *link) { l.cut = true }
	switch w[0] {
	case "reset":
		r.fleet.net.reset(a, b)
		return nil
	case "lossy":
		var x [3]float64
		for i := range x {
			if x[i], err = strconv.ParseFloat(w[4+i], 64); err != nil {
				return err
			}
		}
		change = func(l *link) { l.drop, l.twice, l.late = x[0], x[1], x[2] }
	case "slow":
		d, err := time.ParseDuration(w[4])
		if err != nil {
			return err
		}
		change = func(l *link) { l.delay = d }
	}
	r.fleet.net.set(a, b, change)
	if len(w) < 5 || w[4] != "oneway" {
		r.fleet.net.set(b, a, change)
	}
	return nil
}

// reports asks the members, and has the watch look at what they say.
func (r *runner) reports(of []*member) (map[*member]cluster.Report, error) {
	out := map[*member]cluster.Report{}
	for _, m := range of {
		got, err := r.fleet.report(m)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		r.watch.saw(m.name, got.State)
		out[m] = got
	}
	return out, nil
}

func alive(got cluster.Report) (n int) {
	for _, i := range got.Members {
		if i.Life == members.Alive {
			n++
		}
	}
	return n
}
