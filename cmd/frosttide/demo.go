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

// The addresses of the demonstration. Those of the dispatcher are in the sample settings.
const (
	demoClients   = "127.0.0.1:8081"
	demoDiscovery = "127.0.0.1:8500"
)

// demoRunners are the addresses of the workers.
var demoRunners = []string{"127.0.0.1:9101", "127.0.0.1:9102"}

// demoCommand returns the command of the demonstration.
func demoCommand(s signals) *cobra.Command {
	var jobs int
	var keep bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Start a dispatcher with a toy fleet on loopback and serve some jobs",
		Long: `demo starts discovery, two toy runners and a dispatcher on the sample settings, all on
loopback, submits some jobs and prints their answers. With --keep it goes on until
SIGINT, so that it can be tried by hand.`,
		Example: `  frosttide demo
  frosttide demo --keep`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo(cmd.OutOrStdout(), s, jobs, keep) },
	}
	cmd.Flags().IntVar(&jobs, "jobs", 4, "how many jobs to submit, at most 100")
	cmd.Flags().BoolVar(&keep, "keep", false, "go on until SIGINT")
	return cmd
}

// demoTime bounds the demonstration without --keep.
const demoTime = time.Minute

// demo starts the demonstration, submits jobs and prints their responses. With keep it
// then goes on until a signal.
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
	// The dispatcher sees no environment beside the format of its log.
	src := config.Source{Path: "deploy/frosttide.toml", SettingsText: deploy.Sample, LogLevel: "warn",
		Getenv: func(name string) string {
			return map[string]string{"FROSTTIDE_LOG_FORMAT": os.Getenv("FROSTTIDE_LOG_FORMAT")}[name]
		}}
	ended := make(chan error, 1)
	go func() { ended <- serve(s, src) }()
	by := time.Now().Add(demoTime)
	for i := range jobs {
		if err := demoJob(out, i, by, ended); err != nil {
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

// demoJob submits a job until it is served. It is rejected while the list of workers is
// still missing.
func demoJob(out io.Writer, i int, by time.Time, ended <-chan error) error {
	for try := 0; time.Now().Before(by); try++ {
		req, err := http.NewRequest(http.MethodPost, "http://"+demoClients+"/preview-cut/goal-7", strings.NewReader("minute 88"))
		if err != nil {
			return err
		}
		req.Header.Set("X-Qos", "preview-cut")
		req.Header.Set("X-Trace-Id", fmt.Sprintf("demo-%d-%d-%d", os.Getpid(), i, try))
		req.Header.Set("X-Expires-In-Ms", "5000")
		began := time.Now()
		resp, err := http.DefaultClient.Do(req)
		wait := 100 * time.Millisecond // the address is not open yet
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
			return errors.Join(errors.New("the dispatcher has ended"), err)
		}
	}
	return errors.New("no job was served in time")
}
