package main

import (
	"fmt"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

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
