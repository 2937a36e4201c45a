package wire

import (
	"cmp"
	"fmt"
	"time"

	"frosttide/decision"
)

// Names is what a host on sockets needs of the settings beside the Config: the names of what the Config numbers, and
// what concerns connections and lists.
type Names struct {
	Classes   []string
	Tenants   []string
	Zones     []string
	Kinds     []string
	Columns   []string      // of load reports, in the order of Config.Metrics; empty without reports
	InAnswers bool          // load reports come with answers
	Keepalive time.Duration // how long workers keep an idle connection
	Pushed    bool          // lists are pushed to an agent on this machine, which has to be read
}

// ParseNames returns the Names of the settings that ParseSettings reads, with the same errors.
func ParseNames(text []byte) (Names, error) {
	s, err := parse(text)
	if err != nil {
		return Names{}, err
	}
	n := Names{Zones: texts(s.Zones), Kinds: texts(s.Kinds), Keepalive: micros(s.Limits.Keepalive),
		InAnswers: s.Report.Source == "answers", Pushed: s.Discovery == "pushed"}
	if s.Report.Source == "answers" || s.Report.Source == "probe" {
		n.Columns = s.Report.Columns[:min(len(s.Report.Columns), decision.MaxMetrics)]
	}
	for _, c := range s.Classes {
		n.Classes = append(n.Classes, c.Name)
	}
	for _, t := range s.Tenants {
		n.Tenants = append(n.Tenants, fmt.Sprint(cmp.Or(t.Name, any(""))))
	}
	return n, nil
}

// texts returns names as text, whatever JSON type they have.
func texts(names []any) []string {
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprint(name))
	}
	return out
}
