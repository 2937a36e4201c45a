package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runCommand runs a subcommand of the real program and returns what it says and its exit
// status.
func runCommand(t *testing.T, env []string, args ...string) (out, errs string, status int) {
	t.Helper()
	return runCommandWithStdin(t, nil, env, args...)
}

// runCommandWithStdin does so with a file as standard input.
func runCommandWithStdin(t *testing.T, in *os.File, env []string, args ...string) (out, errs string, status int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append([]string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}, env...)
	var o, e strings.Builder
	cmd.Stdout, cmd.Stderr = &o, &e
	if in != nil {
		cmd.Stdin = in
	}
	_ = cmd.Run() // the exit status is checked
	if strings.Contains(e.String(), "WARNING: DATA RACE") {
		t.Errorf("the race detector reported a race in the program:\n%s", e.String())
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// TestArguments guards whoever types: one line, and status 2.
func TestArguments(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		args []string
		want string
	}{
		{[]string{"sevre"}, `unknown command "sevre"`},
		{[]string{"serve", "now"}, `unknown command "now"`},
		{[]string{"serve", "--confg", "x"}, "unknown flag: --confg"},
		{[]string{"check", "--config"}, "flag needs an argument"},
		{[]string{"trace"}, "say show or summary"},
		{[]string{"trace", "show", "f"}, "ID is missing"},
		{[]string{"trace", "summary", "f", "g"}, "one argument too many"},
		{[]string{"trace", "summary", "f", "--by", "moon"}, "--by is none of"},
		{[]string{"trace", "summary", "f", "--from", "noon"}, "--from"},
		{[]string{"demo", "--jobs", "0"}, "--jobs 0"},
	} {
		out, errs, status := runCommand(t, nil, tc.args...)
		if status != 2 || out != "" || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, tc.want) {
			t.Errorf("%v: status %d, said %q and %q", tc.args, status, out, errs)
		}
	}
	for _, args := range [][]string{{"--help"}, {"serve", "-h"}, {"version"}, {"completion", "bash"}} {
		if out, errs, status := runCommand(t, nil, args...); status != 0 || out == "" || errs != "" {
			t.Errorf("%v: status %d, said %q and %q", args, status, out, errs)
		}
	}
}

// TestSettingsFile guards a stand-alone installation: the file alone is enough, what is
// wrong is reported at once, and the platform's file goes before it.
func TestSettingsFile(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const class = "[[class]]\nname = \"cut\"\nwanted_within = \"1s\"\ngive_up = \"2s\"\n"
	good := write("good.toml", "name = \"alone\"\n[limits]\nsockets = 500\n[discovery]\naddress = \"127.0.0.1:2\"\n"+class)
	json := write("config.json", `{"name":"platform","listen":"127.0.0.1:1","discovery":"127.0.0.1:3","settings":`+testSettings+`}`)

	out, errs, status := runCommand(t, nil, "check", "--config", good)
	for _, want := range []string{"name = 'alone'", good + ":1", "limits.sockets = 500", "attempts.most = 4", "# default", "class[0].give_up = '2s'"} {
		if !strings.Contains(out, want) {
			t.Errorf("check does not say %q; it says\n%s%s", want, out, errs)
		}
	}
	out, _, _ = runCommand(t, []string{"BALANCER_CONFIG=" + json, "BALANCER_NAME=env"}, "check", "--config", good)
	for _, want := range []string{`name = "env"`, "$BALANCER_NAME", `discovery.address = "127.0.0.1:3"`, json, "limits.sockets = 500"} {
		if !strings.Contains(out, want) {
			t.Errorf("with the platform's file check does not say %q; it says\n%s", want, out)
		}
	}
	if strings.Contains(out, "class[0]") || status != 0 {
		t.Errorf("the platform's classes do not go before the file's:\n%s", out)
	}

	bad := write("bad.toml", "nmae = \"x\"\n[attempts]\nmost = 0\n"+class)
	for _, cmd := range []string{"check", "serve"} {
		_, errs, status := runCommand(t, nil, cmd, "--config", bad)
		lines := strings.Split(strings.TrimSpace(errs), "\n")
		if status != 1 || len(lines) != 2 || !strings.Contains(lines[0], "bad.toml:1: nmae") || !strings.Contains(lines[1], "bad.toml:3: attempts.most") {
			t.Errorf("%s: status %d, said\n%s", cmd, status, errs)
		}
	}
	for _, cmd := range [][]string{{"check", "--config", filepath.Join(dir, "none")}, {"check"}} {
		if _, errs, status := runCommand(t, nil, cmd...); status != 1 || strings.Count(errs, "\n") != 1 {
			t.Errorf("%v: status %d, said %q", cmd, status, errs)
		}
	}
}

// TestFixedList guards an installation without discovery, and a list that a reload
// changes.
func TestFixedList(t *testing.T) {
	t.Parallel()
	one, two := newRunner(t, "s-1"), newRunner(t, "s-2")
	path := filepath.Join(t.TempDir(), "frosttide.toml")
	write := func(d *dispatcher, r *runner) {
		text := `[listen]
clients = "` + d.addr + `"
[log]
format = "json"
[telemetry]
batch_every = "20ms"
[telemetry.file]
path = "` + path + `.jsonl"
[[class]]
name = "render"
wanted_within = "1s"
give_up = "20s"
[[runner]]
id = "` + r.uid + `"
address = "` + r.addr + `"
`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d := startWith(t, "", 1024, nil, func(d *dispatcher) {
		write(d, one)
		d.cmd.Env = []string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}
		d.cmd.Args = append(d.cmd.Args, "serve", "--config", path)
	})
	d.serveRunner(one)
	d.serveRunner(two)
	d.serveJobs("first", 1)
	write(d, two)
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	d.awaitLog(`"msg":"egress target gone from the list"`)
	d.serveJobs("second", 1)
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, d.exited, "end")
	for id, runner := range map[string]string{"first-0": "s-1", "second-0": "s-2"} {
		out, errs, status := runCommand(t, nil, "trace", "show", path+".jsonl", id)
		if status != 0 || !strings.Contains(out, "hop 1 (first) to "+runner+" ") || !strings.Contains(out, ": served after ") {
			t.Errorf("trace show %s: status %d, said %q and %q", id, status, out, errs)
		}
	}
	out, _, _ := runCommand(t, nil, "trace", "summary", path+".jsonl")
	if !strings.Contains(out, "2 requests") || !strings.Contains(out, "100.0% of their worth") {
		t.Errorf("the summary says\n%s", out)
	}
}
