// Command frosttide-lab benchmarks frosttide on loopback against fake runners, clients and
// collectors. Each sub-command is one experiment. It is a development tool and not needed in
// production.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "frosttide-lab", Short: "Benchmark frosttide on loopback against fake runners and clients",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(telemetryCommand(), powercutCommand(), gearmanCommand(), faultsCommand(), replicationCommand(), sizeCommand(), scaleCommand(), forceCommand(), urgentCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "frosttide-lab:", err)
		os.Exit(1)
	}
}
