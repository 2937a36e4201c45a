package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runCommand runs a subcommand of the real program and returns its standard output, its standard
// error and its exit status.
func runCommand(t *testing.T, env []string, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	return runCommandWithStdin(t, nil, env, args...)
}

// runCommandWithStdin does the same with a file as standard input.
func runCommandWithStdin(t *testing.T, in *os.File, env []string, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append([]string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}, env...)
	var out, errs strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errs
	if in != nil {
		cmd.Stdin = in
	}
	_ = cmd.Run() // callers check the exit status
	if strings.Contains(errs.String(), "WARNING: DATA RACE") {
		t.Errorf("the race detector reported a race in the program:\n%s", errs.String())
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// TestInvalidArguments guards the reaction to invalid arguments: one line on stderr and exit status
// 2.
func TestInvalidArguments(t *testing.T) {
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
			t.Errorf("%v: got status %d, stdout %q, stderr %q, want status 2 and one line on stderr", tc.args, status, out, errs)
		}
	}
	for _, args := range [][]string{{"--help"}, {"serve", "-h"}, {"version"}, {"completion", "bash"}} {
		if out, errs, status := runCommand(t, nil, args...); status != 0 || out == "" || errs != "" {
			t.Errorf("%v: got status %d, stdout %q, stderr %q, want status 0 and only stdout", args, status, out, errs)
		}
	}
}

// TestSettingsFile guards a stand-alone installation: the settings file alone is enough, its
// mistakes are reported at once, and the platform's configuration file takes precedence over it.
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
			t.Errorf("the output of check does not contain %q:\n%s%s", want, out, errs)
		}
	}
	out, _, _ = runCommand(t, []string{"BALANCER_CONFIG=" + json, "BALANCER_NAME=env"}, "check", "--config", good)
	for _, want := range []string{`name = "env"`, "$BALANCER_NAME", `discovery.address = "127.0.0.1:3"`, json, "limits.sockets = 500"} {
		if !strings.Contains(out, want) {
			t.Errorf("with the platform's file, the output of check does not contain %q:\n%s", want, out)
		}
	}
	if strings.Contains(out, "class[0]") || status != 0 {
		t.Errorf("the platform's classes do not take precedence over the settings file's:\n%s", out)
	}

	bad := write("bad.toml", "nmae = \"x\"\n[attempts]\nmost = 0\n"+class)
	for _, cmd := range []string{"check", "serve"} {
		_, errs, status := runCommand(t, nil, cmd, "--config", bad)
		lines := strings.Split(strings.TrimSpace(errs), "\n")
		if status != 1 || len(lines) != 2 || !strings.Contains(lines[0], "bad.toml:1: nmae") || !strings.Contains(lines[1], "bad.toml:3: attempts.most") {
			t.Errorf("%s: got status %d and stderr\n%s\nwant status 1 and one line for each mistake", cmd, status, errs)
		}
	}
	for _, cmd := range [][]string{{"check", "--config", filepath.Join(dir, "none")}, {"check"}} {
		if _, errs, status := runCommand(t, nil, cmd...); status != 1 || strings.Count(errs, "\n") != 1 {
			t.Errorf("%v: got status %d and stderr %q, want status 1 and one line", cmd, status, errs)
		}
	}
}

// TestFixedList guards an installation with a fixed target list instead of discovery, and changes
// to the list by a reload.
func TestFixedList(t *testing.T) {
	t.Parallel()
	first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
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
		write(d, first)
		d.cmd.Env = []string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}
		d.cmd.Args = append(d.cmd.Args, "serve", "--config", path)
	})
	d.serveRunner(first)
	d.serveRunner(second)
	d.serveJobs("first", 1)
	write(d, second)
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	d.awaitLog(`"msg":"egress target gone from the list"`)
	d.serveJobs("second", 1)
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, d.exited, "exit of the program")
	for id, runner := range map[string]string{"first-0": "s-1", "second-0": "s-2"} {
		out, errs, status := runCommand(t, nil, "trace", "show", path+".jsonl", id)
		if status != 0 || !strings.Contains(out, "hop 1 (first) to "+runner+" ") || !strings.Contains(out, ": served after ") {
			t.Errorf("trace show %s: got status %d, stdout %q, stderr %q, want a served job", id, status, out, errs)
		}
	}
	out, _, _ := runCommand(t, nil, "trace", "summary", path+".jsonl")
	if !strings.Contains(out, "2 requests") || !strings.Contains(out, "100.0% of their worth") {
		t.Errorf("trace summary: want 2 requests and 100.0%% of their worth, got\n%s", out)
	}
}
