// Command frosttide-exporter shows the state of a control plane to Prometheus: at each scrape it asks the core machines
// (package metrics).
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

// Exit statuses of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// readTimeout bounds how long the request of a scrape may take to arrive.
const readTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stderr))
}

// run serves scrapes by the arguments until the context ends, and returns the exit status.
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

// serve answers scrapes until the context ends.
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
	context.AfterFunc(ctx, func() { _ = server.Close() }) // ends Serve; the process is about to end
	klog.InfoS("Serving", "address", listener.Addr(), "members", members)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "-listen")
	}
	return nil
}
