package faults

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/members"
)

// resolveMembers returns the members that a WHO word of a step names (see Script).
func (r *scriptRun) resolveMembers(words string) ([]*member, error) {
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
				if m != l && m.up() && !m.stalled {
					out = append(out, m)
					break
				}
			}
			continue
		case "others": // all members but those last named by "as NAME"
			for _, m := range r.fleet.members {
				if !slices.Contains(r.names["last"], m) {
					out = append(out, m)
				}
			}
			continue
		}
		if id, ok := strings.CutPrefix(w, "holder-of-"); ok {
			m, err := r.holder(id)
			if err != nil {
				return nil, err
			}
			out = append(out, m)
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

// leader waits for a member that reports itself leader, and returns the one in the latest term.
func (r *scriptRun) leader(of []*member) (*member, error) {
	var lead *member
	err := r.retryUntil(func() error {
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

// indexes returns the positions of members in the fleet.
func indexes(list []*member) (out []int) {
	for _, m := range list {
		out = append(out, m.i)
	}
	return out
}

// changeLinks executes cut, lossy, slow and reset.
func (r *scriptRun) changeLinks(w []string, from []*member) error {
	to, err := r.resolveMembers(w[3])
	if err != nil {
		return err
	}
	a, b := indexes(from), indexes(to)
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
		change = func(l *link) { l.drop, l.duplicate, l.reorder = x[0], x[1], x[2] }
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

// reports fetches the members' reports and passes their states to the observer.
func (r *scriptRun) reports(of []*member) (map[*member]cluster.Report, error) {
	out := map[*member]cluster.Report{}
	for _, m := range of {
		got, err := r.fleet.report(m)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		r.observer.observeState(m.name, got.State)
		out[m] = got
	}
	return out, nil
}

// alive returns how many members a report lists as alive.
func alive(got cluster.Report) (n int) {
	for _, i := range got.Members {
		if i.Status == members.Alive {
			n++
		}
	}
	return n
}
