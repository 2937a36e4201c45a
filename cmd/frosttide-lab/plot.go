package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"frosttide/internal/testkit/lab/faults"
)

// drawCurves draws the mean service of each script's plays around its fault, each second's mean at
// its middle, to a file whose ending says its form.
func drawCurves(path string, curves map[string][][]float64) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds after the fault", "served, of the usual"
	p.Y.Min, p.Legend.Top = 0, false
	const window = 10 // tenths
	var lines []any
	for _, name := range slices.Sorted(maps.Keys(curves)) {
		var points plotter.XYs
		plays := curves[name]
		for i := 0; i+window <= len(plays[0]); i += window / 2 {
			sum := 0.0
			for _, play := range plays {
				for _, x := range play[i:min(i+window, len(play))] {
					sum += x
				}
			}
			points = append(points, plotter.XY{X: float64(i+window/2-faults.CurveFrom) / 10, Y: sum / float64(window*len(plays))})
		}
		lines = append(lines, strings.TrimSuffix(name, ".txt"), points)
	}
	if len(lines) == 0 {
		return errors.New("plot: no script has taken a level of service before a fault")
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(vg.Points(560), vg.Points(300), path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// bars is which column of a table a plot shows, the first columns name the bars.
var bars = map[string]struct{ named, shown int }{"writes": {2, 2}, "elections": {2, 2}, "cost": {1, 2}, "spread": {1, 2}, "catchup": {2, 2}}

// drawBars writes one column of a table as bars, to a file whose ending says its form.
func drawBars(path, title, table string) error {
	of := bars[title]
	lines := strings.Split(strings.TrimSpace(table), "\n")
	var values plotter.Values
	var names []string
	for _, line := range lines[1:] {
		cells := strings.Split(line, "\t")
		if len(cells) <= of.shown {
			return fmt.Errorf("plot: %q has too few columns", line)
		}
		x, err := strconv.ParseFloat(cells[of.shown], 64)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		values, names = append(values, x), append(names, strings.Join(cells[:of.named], " "))
	}
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = strings.Split(lines[0], "\t")[of.shown]
	p.Y.Min = 0
	b, err := plotter.NewBarChart(values, vg.Points(30))
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Add(b)
	p.NominalX(names...)
	if err := p.Save(vg.Points(80*float64(len(names)+1)), vg.Points(260), path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
