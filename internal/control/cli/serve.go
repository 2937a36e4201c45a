package cli

import (
	"context"

	"k8s.io/klog/v2"

	"frosttide/internal/control/server"
	"frosttide/internal/nodefile"
)

// serveCommand runs a member of the control plane until the context ends and the member is drained.
func serveCommand(ctx context.Context, c *invocation) error {
	if err := c.parseOnlyFlags("serve", klog.InitFlags); err != nil {
		return err
	}
	path, err := nodefile.Path()
	if err != nil {
		return err
	}
	settings, err := nodefile.Read(path)
	if err != nil {
		return err
	}
	return server.Run(ctx, path, settings)
}
