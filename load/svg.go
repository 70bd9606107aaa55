package load

import (
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"strings"
)

// Sizes in pixels.
const (
	plotWidth    = 860
	panelHeight  = 260
	panelGap     = 56
	marginLeft   = 72
	marginRight  = 230
	marginTop    = 40
	marginBottom = 44
)

// palette has colours that remain distinguishable in print.
var palette = [...]string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00", "#000000", "#999999"}

type point struct{ x, y float64 }

// series is one line of a panel.
type series struct {
	name   string
	points []point
}

// tick is a labelled value on an axis.
type tick struct {
	value float64
	label string
}

// axis maps values to positions.
type axis struct {
	label     string
	low, high float64
	log       bool
	ticks     []tick
}

// position returns the position of v as a fraction of the axis, 0 to 1.
func (a axis) position(v float64) float64 {
	low, high := a.low, a.high
	if a.log {
		v, low, high = math.Log10(max(v, a.low)), math.Log10(low), math.Log10(high)
	}
	if high <= low {
		return 0
	}
	return min(max((v-low)/(high-low), 0), 1)
}

// panel is one chart of a plot.
type panel struct {
	x, y   axis
	series []series
}

// plot is one or more panels under a title.
type plot struct {
	title  string
	panels []panel
}

// write writes the plot as SVG.
func (p plot) write(w io.Writer) error {
	height := marginTop + len(p.panels)*(panelHeight+panelGap)
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, height, plotWidth, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, height)
	textElement(&b, marginLeft, 24, "start", p.title)
	for i, panel := range p.panels {
		panel.write(&b, marginTop+i*(panelHeight+panelGap))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (p panel) write(b *strings.Builder, top int) {
	const width = plotWidth - marginLeft - marginRight
	bottom := top + panelHeight
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#444"/>`+"\n", marginLeft, top, width, panelHeight)
	for _, t := range p.x.ticks {
		x := marginLeft + p.x.position(t.value)*width
		gridLine(b, x, float64(top), x, float64(bottom))
		textElement(b, x, float64(bottom+16), "middle", t.label)
	}
	for _, t := range p.y.ticks {
		y := float64(bottom) - p.y.position(t.value)*panelHeight
		gridLine(b, marginLeft, y, marginLeft+width, y)
		textElement(b, marginLeft-6, y+4, "end", t.label)
	}
	textElement(b, marginLeft+width/2, float64(bottom+34), "middle", p.x.label)
	textElement(b, marginLeft, float64(top-6), "start", p.y.label)
	for i, s := range p.series {
		p.line(b, s, palette[i%len(palette)], bottom, width)
		p.legend(b, s.name, palette[i%len(palette)], top+16+i*18)
	}
}

func (p panel) line(b *strings.Builder, s series, colour string, bottom, width int) {
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.6" points="`, colour)
	for _, pt := range s.points {
		fmt.Fprintf(b, "%.1f,%.1f ", marginLeft+p.x.position(pt.x)*float64(width), float64(bottom)-p.y.position(pt.y)*panelHeight)
	}
	b.WriteString("\"/>\n")
}

func (p panel) legend(b *strings.Builder, name, colour string, y int) {
	const left = plotWidth - marginRight + 12
	fmt.Fprintf(b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="%s" stroke-width="3"/>`+"\n", left, y-4, left+18, y-4, colour)
	textElement(b, left+24, float64(y), "start", name)
}

func gridLine(b *strings.Builder, x1, y1, x2, y2 float64) {
	fmt.Fprintf(b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#ddd"/>`+"\n", x1, y1, x2, y2)
}

func textElement(b *strings.Builder, x, y float64, anchor, s string) {
	fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="%s">`, x, y, anchor)
	// Writing to a strings.Builder cannot fail.
	_ = xml.EscapeText(b, []byte(s))
	b.WriteString("</text>\n")
}

// logAxis returns a logarithmic axis for positive values, with ticks at 1, 2
// and 5 in each decade.
func logAxis(label string, values []series) axis {
	low, high := bounds(values)
	low = math.Pow(10, math.Floor(math.Log10(max(low, 0.01))))
	high = max(high*1.1, low*10)
	a := axis{label: label, low: low, high: high, log: true}
	for decade := low; decade <= high; decade *= 10 {
		for _, f := range [...]float64{1, 2, 5} {
			if v := decade * f; v <= high {
				a.ticks = append(a.ticks, tick{v, fmt.Sprintf("%g", math.Round(v*1000)/1000)})
			}
		}
	}
	return a
}

// linearAxis returns an axis from 0 to the largest value, with about five to
// ten ticks.
func linearAxis(label string, high float64) axis {
	step := math.Pow(10, math.Floor(math.Log10(max(high, 1e-3))))
	switch {
	case high/step < 2:
		step /= 5
	case high/step < 5:
		step /= 2
	}
	a := axis{label: label, high: max(high, step)}
	for v := 0.0; v <= a.high*1.001; v += step {
		a.ticks = append(a.ticks, tick{v, fmt.Sprintf("%g", math.Round(v*1000)/1000)})
	}
	return a
}

// bounds returns the smallest and the largest positive y, or 1 and 10 when
// there is none.
func bounds(list []series) (low, high float64) {
	low = math.Inf(1)
	for _, s := range list {
		for _, p := range s.points {
			if p.y > 0 {
				low, high = min(low, p.y), max(high, p.y)
			}
		}
	}
	if math.IsInf(low, 1) {
		return 1, 10
	}
	return low, high
}
