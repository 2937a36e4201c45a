// Command frosttide-exporter exports the state of a control plane to Prometheus. Package metrics
// queries the core machines at each scrape.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"frosttide/internal/control/metrics"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// readTimeout bounds the time to read a scrape request.
const readTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stderr))
}

// run parses the arguments, serves scrapes until the context ends, and returns the exit status.
func run(ctx context.Context, args []string, errOut io.Writer) int {
	flags := flag.NewFlagSet("frosttide-exporter", flag.ContinueOnError)
	flags.SetOutput(errOut)
	addresses := flags.String("at", os.Getenv("FROSTTIDE_CONTROL"), "`addresses` of the core machines' API, host:port, with commas between them")
	listen := flags.String("listen", "127.0.0.1:9464", "`address` that Prometheus scrapes, host:port; /metrics is served")
	klog.InitFlags(flags)
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	case *addresses == "" || flags.NArg() > 0:
		fmt.Fprintln(errOut, "frosttide-exporter: -at has to name the core machines; see -help")
		return exitUsage
	}
	if err := serve(ctx, *listen, strings.Split(*addresses, ",")); err != nil {
		fmt.Fprintln(errOut, "frosttide-exporter:", err)
		return exitFailed
	}
	return exitOK
}

// serve answers scrapes at address until the context ends. members are the API addresses of the
// core machines.
func serve(ctx context.Context, address string, members []string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "-listen")
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(metrics.NewCollector(members))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadTimeout: readTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // makes Serve return; the process exits next
	klog.InfoS("Serving", "address", listener.Addr(), "members", members)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "-listen")
	}
	return nil
}
