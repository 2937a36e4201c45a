package size

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/testkit/lab"
)

// traffic is what a member has sent since it began.
type traffic struct{ packets, written, disk int64 }

// consolePort is where a member's console listens, at the address of its cluster's port.
const consolePort = "8090"

// console returns the address of a member's console.
func (m *Member) console() (string, error) {
	host, _, err := net.SplitHostPort(m.Listen)
	if err != nil {
		return "", fmt.Errorf("member: %w", err)
	}
	return net.JoinHostPort(host, consolePort), nil
}

// Report returns what the member tells people of itself.
func (m *Member) Report() (r cluster.Report, err error) {
	at, err := m.console()
	if err != nil {
		return r, err
	}
	call := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	resp, err := call.Get("http://" + at + "/api/cluster")
	if err != nil {
		return r, fmt.Errorf("member: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("member: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return r, fmt.Errorf("member: %w", err)
	}
	return r, nil
}

// sentBy returns what a plan's member has sent so far; nothing for a dispatcher on its own.
func sentBy(p Plan, d *lab.Process) (t traffic, err error) {
	if p.Member == nil {
		return t, nil
	}
	r, err := p.Member.Report()
	if err != nil {
		return t, err
	}
	t.packets = int64(r.Replicas.Sent)
	t.written, t.disk, err = d.Written()
	return t, err
}

// memberConfig is the dispatcher's, in the program's own form, as a member.
func memberConfig(p Plan, listen, discovery, dir string) []byte {
	console, _ := p.Member.console() // Check has read it
	folder := ""
	if p.Member.Voter {
		folder = fmt.Sprintf("dir = %q\n", dir+"/log")
	}
	return fmt.Appendf(nil, `name = %q
[listen]
clients = %q
console = %q
[discovery]
address = %q
ask_within = "100ms"
[fleet]
zones = ["a"]
zone = "a"
kinds = ["m"]
dispatchers = %d
number = 1
[drain]
grace = "500ms"
[limits]
sockets = 4096
[cluster]
listen = %q
join = %s
voters = %s
discovery = "one"
%s[[class]]
name = "render"
wanted_within = "%dms"
give_up = "%dms"
`, Name, listen, console, discovery, p.Dispatchers, p.Member.Listen, quoted(p.Member.Join), quoted(p.Member.Voters), folder,
		(p.Work + patience/2).Milliseconds(), (p.Work + patience).Milliseconds())
}

// quoted writes a list of texts as the settings do.
func quoted(list []string) string {
	out := make([]string, len(list))
	for i, text := range list {
		out[i] = fmt.Sprintf("%q", text)
	}
	return "[" + strings.Join(out, ", ") + "]"
}
