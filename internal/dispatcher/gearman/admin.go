package gearman

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// handleAdmin handles one line of the administrative protocol and queues its response.
func (sess *session) handleAdmin(line string) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return
	}
	switch strings.ToLower(words[0]) {
	case "version":
		sess.sendLine("OK frosttide\n")
	case "status":
		sess.server.mailbox.Put(func(s *Server) { sess.sendLine(s.statusText()) })
	case "workers":
		sess.server.mailbox.Put(func(s *Server) { s.sendWorkers(sess) })
	case "maxqueue":
		sess.sendLine("OK\n") // no effect: a job without a free slot is rejected, not queued
	case "shutdown":
		sess.sendLine("ERR not_allowed shutting+down+is+the+service+manager's\n")
	default:
		sess.sendLine("ERR unknown_command Unknown+server+command\n")
	}
}

// statusText returns the response to "status": for each function a line with its name, the number
// of its open jobs, the number of those that are running, and the number of workers that can do it.
func (s *Server) statusText() string {
	total, running := map[string]int{}, map[string]int{}
	for _, j := range s.jobs {
		total[j.function]++
		if j.running {
			running[j.function]++
		}
	}
	workers := map[string]int{}
	s.mu.Lock()
	for _, sess := range s.sessions {
		for _, name := range sess.abilities() {
			workers[name]++
		}
	}
	s.mu.Unlock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(*s.functions.Load())) {
		fmt.Fprintf(&out, "%s\t%d\t%d\t%d\n", name, total[name], running[name], workers[name])
	}
	return out.String() + ".\n"
}

// sendWorkers sends the response to "workers": for each connection a line with its number, host,
// worker uid and functions.
func (s *Server) sendWorkers(sess *session) {
	var lines []string
	s.mu.Lock()
	for _, peer := range s.sessions {
		host, _, _ := strings.Cut(peer.conn.RemoteAddr().String(), ":")
		lines = append(lines, fmt.Sprintf("%d %s %s : %s\n", peer.number, host, peer.displayUID(), strings.Join(peer.abilities(), " ")))
	}
	s.mu.Unlock()
	slices.Sort(lines)
	sess.sendLine(strings.Join(lines, "") + ".\n")
}
