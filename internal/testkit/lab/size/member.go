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

// traffic counts the bytes that a member has sent by UDP, and written in all and to disk, since its
// start.
type traffic struct{ packets, written, disk int64 }

// consolePort is the port of a member's console, on the IP address of its cluster listener.
const consolePort = "8090"

// console returns the host and port of the member's console.
func (m *Member) console() (string, error) {
	host, _, err := net.SplitHostPort(m.Listen)
	if err != nil {
		return "", fmt.Errorf("member: %w", err)
	}
	return net.JoinHostPort(host, consolePort), nil
}

// Report fetches the member's cluster report from its console.
func (m *Member) Report() (r cluster.Report, err error) {
	addr, err := m.console()
	if err != nil {
		return r, err
	}
	call := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	resp, err := call.Get("http://" + addr + "/api/cluster")
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

// memberTraffic returns the traffic of the plan's member so far; zero for a dispatcher that is no
// member.
func memberTraffic(p Plan, d *lab.Process) (t traffic, err error) {
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

// memberConfig returns the TOML configuration of a dispatcher that is a cluster member.
func memberConfig(p Plan, listen, discovery, dir string) []byte {
	console, _ := p.Member.console() // Plan.Check has validated it
	logDir := ""
	if p.Member.Voter {
		logDir = fmt.Sprintf("dir = %q\n", dir+"/log")
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
`, Name, listen, console, discovery, p.Dispatchers, p.Member.Listen, quoted(p.Member.Join), quoted(p.Member.Voters), logDir,
		(p.Work + clientPatience/2).Milliseconds(), (p.Work + clientPatience).Milliseconds())
}

// quoted returns a TOML array of strings.
func quoted(list []string) string {
	out := make([]string, len(list))
	for i, text := range list {
		out[i] = fmt.Sprintf("%q", text)
	}
	return "[" + strings.Join(out, ", ") + "]"
}
