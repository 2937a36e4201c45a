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

// scaleCommand measures how a dispatcher's needs grow, and writes the capacity page's figures.
func scaleCommand() *cobra.Command {
	var role string
	var axes []string
	var seconds float64
	to, plan := publication{}, scale.Plan{}
	c := &cobra.Command{Use: "scale", Short: "Measure how a role's needs grow with the fleet", Args: cobra.NoArgs,
		Example: `  frosttide-lab scale --binary bin/frosttide --commit $(git rev-parse --short HEAD) --page docs/capacity/dispatcher.md --figures docs/capacity`}
	f := c.Flags()
	f.StringVar(&plan.Binary, "binary", "bin/frosttide", "the program")
	f.StringVar(&role, "role", string(scale.Dispatcher), "what is measured: dispatcher, member, leader")
	f.StringSliceVar(&axes, "axes", nil, "workers, starts, running, changes; of members changes, members, writes; all without")
	f.Float64Var(&seconds, "seconds", 8, "length of each point")
	f.IntVar(&plan.Repeats, "repeats", 3, "runs of each point")
	f.IntVar(&plan.AtOnce, "at-once", 4, "points that are played at the same time; one of members")
	f.Uint64Var(&plan.Seed, "seed", 1, "seed of the first repeat's load")
	to.flags(f)
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
		at := to.where(plan.Seed)
		at.Role, at.Repeats, at.Seconds = plan.Role, plan.Repeats, seconds
		if to.figures != "" {
			if err := drawLines(to.figures, points, lines, plan.Role); err != nil {
				return err
			}
		}
		return to.write(c.OutOrStdout(), role, map[string]any{"run": at, "points": points, "lines": lines}, scale.EmptyPage(plan.Role),
			func(page string) (string, error) { return scale.Put(page, points, lines, at) })
	}
	return c
}

// drawLines draws a plot of each need by each axis into a folder.
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

// drawLine draws the points of a need along an axis and the line through them.
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
