package wire

import (
	"cmp"
	"fmt"
	"time"

	"frosttide/decision"
)

// Names holds what a dispatcher that serves on sockets needs in addition to decision.Config: the
// names of the items that the Config refers to by number, and settings of connections and worker
// lists.
type Names struct {
	Classes   []string
	Tenants   []string
	Zones     []string
	Kinds     []string
	Columns   []string      // of load reports, in the order of Config.Metrics
	InAnswers bool          // workers send load reports in their answers
	Keepalive time.Duration // how long workers keep an idle connection open
	Pushed    bool          // worker lists are pushed to an agent on this machine and read from it
}

// ParseNames converts the settings that ParseSettings reads to Names. It returns the same errors.
func ParseNames(text []byte) (Names, error) {
	s, err := parse(text)
	if err != nil {
		return Names{}, err
	}
	n := Names{Zones: toStrings(s.Zones), Kinds: toStrings(s.Kinds), Keepalive: microseconds(s.Limits.Keepalive),
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

// toStrings formats names, which may be JSON values of any type, as strings.
func toStrings(names []any) []string {
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprint(name))
	}
	return out
}
