// Package capacity measures how the cost of each role grows with the size of
// the fleet, with the real codec and the real decision packages, and works out
// what the target size needs. It opens no socket and starts no process.
package capacity

// Point is one measurement: a size and its cost in the unit of the series.
type Point struct {
	Size float64
	Cost float64
}

// Line is a fitted straight line: cost = Fixed + Slope * size.
type Line struct {
	Fixed float64
	Slope float64
}

// At returns the line's cost at a size. It is never below zero.
func (l Line) At(size float64) float64 {
	cost := l.Fixed + l.Slope*size
	if cost < 0 {
		return 0
	}
	return cost
}

// Fit returns the least-squares line through the points. Fewer than two
// different sizes give a line with slope zero through the mean.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Cost
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Cost
	}
	den := n*sumXX - sumX*sumX
	if den == 0 {
		return Line{Fixed: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / den
	return Line{Fixed: (sumY - slope*sumX) / n, Slope: slope}
}
