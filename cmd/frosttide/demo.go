package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"frosttide/deploy"
	"frosttide/internal/dispatcher/config"
	"frosttide/internal/testkit/fakefleet"
)

// Addresses used by the demonstration. demoClients and demoDiscovery equal those in the sample
// settings.
const (
	demoClients   = "127.0.0.1:8081"
	demoDiscovery = "127.0.0.1:8500"
)

// demoRunners are the addresses of the fake workers.
var demoRunners = []string{"127.0.0.1:9101", "127.0.0.1:9102"}

// demoCommand returns the command that runs the demonstration.
func demoCommand(s signals) *cobra.Command {
	var jobs int
	var keep bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Start a dispatcher with fake runners on loopback and serve some jobs",
		Long: `demo starts discovery, two fake runners and a dispatcher with the sample settings, all on
loopback, submits some jobs and prints their responses. With --keep it keeps running until
SIGINT, so that jobs can be submitted by hand.`,
		Example: `  frosttide demo
  frosttide demo --keep`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo(cmd.OutOrStdout(), s, jobs, keep) },
	}
	cmd.Flags().IntVar(&jobs, "jobs", 4, "number of jobs to submit, at most 100")
	cmd.Flags().BoolVar(&keep, "keep", false, "keep running until SIGINT")
	return cmd
}

// demoTimeout bounds the submission of all jobs.
const demoTimeout = time.Minute

// demo starts the demonstration, submits jobs and prints their responses. With keep it then keeps
// running until a signal.
func demo(out io.Writer, s signals, jobs int, keep bool) error {
	if jobs < 1 || jobs > 100 {
		return usageError{fmt.Errorf("--jobs %d is not from 1 to 100", jobs)}
	}
	quiet := logrus.New()
	quiet.SetLevel(logrus.WarnLevel)
	fleet, err := fakefleet.Start(demoDiscovery, demoClients, demoRunners, 300*time.Millisecond, quiet)
	if err != nil {
		return err
	}
	defer fleet.Close()
	// The dispatcher gets no environment variables except the one for the log format.
	src := config.Source{Path: "deploy/frosttide.toml", SettingsText: deploy.Sample, LogLevel: "warn",
		Getenv: func(name string) string {
			return map[string]string{"FROSTTIDE_LOG_FORMAT": os.Getenv("FROSTTIDE_LOG_FORMAT")}[name]
		}}
	ended := make(chan error, 1)
	go func() { ended <- serve(s, src) }()
	deadline := time.Now().Add(demoTimeout)
	for i := range jobs {
		if err := demoJob(out, i, deadline, ended); err != nil {
			return err
		}
	}
	if !keep {
		s.stop <- syscall.SIGTERM
	} else {
		fmt.Fprintf(out, "serving clients at %s until SIGINT\n", demoClients)
	}
	return <-ended
}

// demoJob submits a job and retries until it is served: the dispatcher rejects jobs until it has a
// worker list.
func demoJob(out io.Writer, i int, deadline time.Time, ended <-chan error) error {
	for try := 0; time.Now().Before(deadline); try++ {
		req, err := http.NewRequest(http.MethodPost, "http://"+demoClients+"/preview-cut/goal-7", strings.NewReader("minute 88"))
		if err != nil {
			return err
		}
		req.Header.Set("X-Qos", "preview-cut")
		req.Header.Set("X-Trace-Id", fmt.Sprintf("demo-%d-%d-%d", os.Getpid(), i, try))
		req.Header.Set("X-Expires-In-Ms", "5000")
		began := time.Now()
		resp, err := http.DefaultClient.Do(req)
		wait := 100 * time.Millisecond // if the dispatcher does not listen yet
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				fmt.Fprintf(out, "job %d: %s after %d ms: %s\n", i+1, resp.Status, time.Since(began).Milliseconds(), strings.TrimSpace(string(text)))
				return nil
			}
			if after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
				wait = after
			}
		}
		next := time.NewTimer(wait)
		select {
		case <-next.C:
		case err := <-ended:
			next.Stop()
			return errors.Join(errors.New("the dispatcher exited"), err)
		}
	}
	return errors.New("the job was not served before the demonstration's timeout")
}
