package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"frosttide/internal/testkit/lab/scale"
)

// scaleCommand returns the command that measures how the resource usage of a role grows with the
// fleet, and updates the figures of the capacity page.
func scaleCommand() *cobra.Command {
	var role string
	var axes []string
	var seconds float64
	publish, plan := publishFlags{}, scale.Plan{}
	c := &cobra.Command{Use: "scale", Short: "Measure how a role's resource usage grows with the fleet", Args: cobra.NoArgs,
		Example: `  frosttide-lab scale --binary bin/frosttide --commit $(git rev-parse --short HEAD) --page docs/capacity/dispatcher.md --figures docs/capacity`}
	f := c.Flags()
	f.StringVar(&plan.Binary, "binary", "bin/frosttide", "the program")
	f.StringVar(&role, "role", string(scale.Dispatcher), "role to measure: dispatcher, member or leader")
	f.StringSliceVar(&axes, "axes", nil, "axes to vary: workers, starts, running, changes; for members: changes, members, writes; all axes if empty")
	f.Float64Var(&seconds, "seconds", 8, "duration of each point, in seconds")
	f.IntVar(&plan.Repeats, "repeats", 3, "runs of each point")
	f.IntVar(&plan.AtOnce, "at-once", 4, "points that are measured concurrently; 1 by default for members and leaders")
	f.Uint64Var(&plan.Seed, "seed", 1, "seed of the first repeat's load")
	publish.register(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
		defer stop()
		plan.Role, plan.For = scale.Role(role), time.Duration(seconds*float64(time.Second))
		if !c.Flags().Changed("at-once") && plan.Role != scale.Dispatcher {
			plan.AtOnce = 1
		}
		for _, a := range axes {
			plan.Axes = append(plan.Axes, scale.Axis(a))
		}
		fmt.Fprintf(c.OutOrStdout(), "seed %d\n", plan.Seed)
		points, err := scale.Run(ctx, plan)
		if err != nil {
			return err
		}
		lines := scale.Fit(plan.Role, points)
		at := publish.runInfo(plan.Seed)
		at.Role, at.Repeats, at.Seconds = plan.Role, plan.Repeats, seconds
		if publish.figures != "" {
			if err := drawLines(publish.figures, points, lines, plan.Role); err != nil {
				return err
			}
		}
		return publish.write(c.OutOrStdout(), role, map[string]any{"run": at, "points": points, "lines": lines}, scale.EmptyPage(plan.Role),
			func(page string) (string, error) { return scale.Put(page, points, lines, at) })
	}
	return c
}

// drawLines plots each fitted line (a quantity by an axis) into an SVG file in a folder.
func drawLines(dir string, points []scale.Point, lines []scale.Line, r scale.Role) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, l := range lines {
		name := fmt.Sprintf("%s-%s-by-%s.svg", r, strings.ReplaceAll(l.Quantity, " ", "-"), l.Axis)
		if err := drawLine(filepath.Join(dir, name), points, l); err != nil {
			return err
		}
	}
	return nil
}

// drawLine plots the measured points of a quantity along an axis and the line fitted to them.
func drawLine(path string, points []scale.Point, l scale.Line) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = string(l.Axis), l.Quantity
	p.Y.Min = 0
	var measured plotter.XYs
	for _, of := range points {
		if of.Axis == l.Axis {
			measured = append(measured, plotter.XY{X: of.X, Y: scale.Value(l.Quantity, of.Need)})
		}
	}
	dots, err := plotter.NewScatter(measured)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Add(dots, plotter.NewFunction(func(x float64) float64 { return l.Base + l.Slope*x }))
	if err := p.Save(vg.Points(360), vg.Points(240), path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
