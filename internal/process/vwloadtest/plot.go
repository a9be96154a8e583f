package vwloadtest

import (
	"fmt"
	"html/template"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	plotWidth, plotHeight = 760, 260
	marginLeft, marginTop = 60, 20
	marginRight           = 20
	marginBottom          = 40
	ticks                 = 5
	// interval is the width of one point of the plots over time.
	interval = 250 * time.Millisecond
)

// palette holds colours that are told apart by people with the common kinds of colour blindness.
var palette = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#f0e442"}

// plot is one diagram of the HTML report.
type plot struct {
	Title  string
	XLabel string
	YLabel string
	Series []series
}

// series is one line of a plot.
type series struct {
	Name   string
	Points []point
}

type point struct{ X, Y float64 }

func (e *evaluation) plots(found responses) []plot {
	return []plot{e.plotPercentiles(found), e.plotResponses(found), e.plotStarts()}
}

// plotPercentiles shows the response time by percentile.
func (e *evaluation) plotPercentiles(found responses) plot {
	curve := func(name string, durations []time.Duration) series {
		line := series{Name: name}
		histogram := histogramOf(durations)
		for _, quantile := range []float64{0, 10, 25, 50, 60, 70, 75, 80, 85, 90, 92, 94, 96, 97, 98, 99, 99.5, 99.9, 100} {
			line.Points = append(line.Points, point{X: quantile, Y: float64(histogram.ValueAtQuantile(quantile)) / 1000})
		}
		return line
	}
	return plot{
		Title: "Response time by percentile", XLabel: "percentile", YLabel: "ms",
		Series: []series{curve("measured", found.measured), curve("ideal", found.ideal)},
	}
}

// plotResponses shows the largest response time of the arrivals in each interval.
func (e *evaluation) plotResponses(found responses) plot {
	worst := func(name string, durations []time.Duration) series {
		values := map[int]float64{}
		for index, outcome := range found.outcomes {
			at := int(outcome.Planned.Sub(e.begin) / interval)
			values[at] = max(values[at], millis(durations[index]))
		}
		return makeSeries(name, values)
	}
	return plot{
		Title: "Largest response time by time of arrival", XLabel: "s", YLabel: "ms",
		Series: []series{worst("measured", found.measured), worst("ideal", found.ideal)},
	}
}

// plotStarts shows the starts that the stand-ins of each data centre recorded.
func (e *evaluation) plotStarts() plot {
	starts := e.startsByDataCentre()
	result := plot{Title: "Starts by data centre", XLabel: "s", YLabel: "starts/s"}
	last := int(e.end.Sub(e.begin) / interval)
	for _, name := range slices.Sorted(maps.Keys(starts)) {
		values := map[int]float64{}
		for at := range last {
			values[at] = 0
		}
		for _, start := range starts[name] {
			values[int(start.At.Sub(e.begin)/interval)] += 1 / interval.Seconds()
		}
		result.Series = append(result.Series, makeSeries(name, values))
	}
	return result
}

func makeSeries(name string, values map[int]float64) series {
	line := series{Name: name}
	for _, at := range slices.Sorted(maps.Keys(values)) {
		line.Points = append(line.Points, point{X: float64(at) * interval.Seconds(), Y: values[at]})
	}
	return line
}

// SVG draws the plot.
func (p plot) SVG() template.HTML {
	var out strings.Builder
	width, height := p.bounds()
	fmt.Fprintf(&out, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`, plotWidth, plotHeight, template.HTMLEscapeString(p.Title))
	p.drawAxes(&out, width, height)
	for index, line := range p.Series {
		colour := palette[index%len(palette)]
		out.WriteString(`<polyline fill="none" stroke-width="1.5" stroke="` + colour + `" points="`)
		for _, point := range line.Points {
			fmt.Fprintf(&out, "%.1f,%.1f ", placeX(point.X, width), placeY(point.Y, height))
		}
		fmt.Fprintf(&out, `"/><text x="%d" y="%d" fill="%s">%s</text>`, marginLeft+10+120*index, marginTop-6, colour, template.HTMLEscapeString(line.Name))
	}
	out.WriteString("</svg>")
	return template.HTML(out.String())
}

func (p plot) bounds() (width, height float64) {
	for _, line := range p.Series {
		for _, point := range line.Points {
			width, height = max(width, point.X), max(height, point.Y)
		}
	}
	return roundUp(width), roundUp(height)
}

// roundUp returns the next of 1, 2, 2.5 and 5 times a power of ten, for readable ticks.
func roundUp(value float64) float64 {
	if value <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, factor := range []float64{1, 2, 2.5, 5} {
		if value <= factor*power {
			return factor * power
		}
	}
	return 10 * power
}

func (p plot) drawAxes(out *strings.Builder, width, height float64) {
	bottom, right := plotHeight-marginBottom, plotWidth-marginRight
	fmt.Fprintf(out, `<path d="M%d %dV%dH%d" fill="none" stroke="#888"/>`, marginLeft, marginTop, bottom, right)
	for tick := range ticks + 1 {
		share := float64(tick) / ticks
		x, y := placeX(share*width, width), placeY(share*height, height)
		fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle">%.4g</text>`, x, bottom+15, share*width)
		fmt.Fprintf(out, `<text x="%d" y="%.1f" text-anchor="end">%.4g</text>`, marginLeft-5, y+4, share*height)
		fmt.Fprintf(out, `<path d="M%d %.1fH%d" stroke="#ddd"/>`, marginLeft, y, right)
	}
	fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="end">%s</text>`, right, plotHeight-6, template.HTMLEscapeString(p.XLabel))
	fmt.Fprintf(out, `<text x="5" y="%d">%s</text>`, marginTop-6, template.HTMLEscapeString(p.YLabel))
}

func placeX(x, width float64) float64 {
	return marginLeft + x/width*(plotWidth-marginLeft-marginRight)
}

func placeY(y, height float64) float64 {
	return plotHeight - marginBottom - y/height*(plotHeight-marginTop-marginBottom)
}
