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

// drawCurves plots the service level around the fault, one line per script with the mean of its
// runs. Each point is the mean of one second, drawn at the second's middle. The file's extension
// selects the format.
func drawCurves(path string, curves map[string][][]float64) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds after the fault", "served, of the usual"
	p.Y.Min, p.Legend.Top = 0, false
	const window = 10 // tenths of a second
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

// barColumns maps an experiment's name to the columns of its table for a bar chart: the first named
// columns label a bar, and the column with the index shown is its height.
var barColumns = map[string]struct{ named, shown int }{"writes": {2, 2}, "elections": {2, 2}, "cost": {1, 2}, "spread": {1, 2}, "catchup": {2, 2}}

// drawBars plots one column of an experiment's tab-separated table as a bar chart. title is the
// experiment's name; the file's extension selects the format.
func drawBars(path, title, table string) error {
	columns := barColumns[title]
	lines := strings.Split(strings.TrimSpace(table), "\n")
	var values plotter.Values
	var names []string
	for _, line := range lines[1:] {
		cells := strings.Split(line, "\t")
		if len(cells) <= columns.shown {
			return fmt.Errorf("plot: %q has too few columns", line)
		}
		x, err := strconv.ParseFloat(cells[columns.shown], 64)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		values, names = append(values, x), append(names, strings.Join(cells[:columns.named], " "))
	}
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = strings.Split(lines[0], "\t")[columns.shown]
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
