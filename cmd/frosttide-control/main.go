// Command frosttide-control is the control plane of the cluster scheduler. Without a sub-command it
// runs a member on a core machine; the sub-commands let operators inspect and change a running
// system. Package cli implements them.
package main

import (
	"os"

	"frosttide/internal/control/cli"
	"frosttide/internal/process"
)

func main() {
	os.Exit(cli.Main(process.HandleSignals(), os.Args[1:], os.Stdout, os.Stderr))
}
