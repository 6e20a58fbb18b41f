package capacity

import (
	"fmt"
	"io"
)

// Report measures all that needs no process and writes it as tables.
func Report(w io.Writer) error {
	costs, err := MeasureCodec()
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "## Messages")
	fmt.Fprintln(w)
	printCodec(w, costs)
	if err := reportIdle(w); err != nil {
		return err
	}
	if err := reportLinks(w); err != nil {
		return err
	}
	if err := reportScheduler(w); err != nil {
		return err
	}
	if err := reportLoss(w); err != nil {
		return err
	}
	reportConfig(w)
	reportHomes(w)
	reportClaims(w)
	return nil
}

func reportScheduler(w io.Writer) error {
	fmt.Fprintln(w, "\n## Scheduler owner, 7 tasks a worker")
	fmt.Fprintln(w, "\n| workers | tasks | state bytes | placement us | lease request us | idle tick us | rebuild ms | snapshot bytes | segment bytes | segment ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var state, place, rebuild []Point
	for _, workers := range []int{200, 800, WorkersPerRegion, 2 * WorkersPerRegion} {
		c, err := MeasureScheduler(workers, TasksPerWorker)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| %d | %d | %.0f | %.1f | %.1f | %.1f | %.1f | %d | %d | %.1f |\n",
			c.Workers, c.Tasks, c.StateBytes, c.PlaceNS/1e3, c.LeaseNS/1e3, c.TickNS/1e3, c.RecoverNS/1e6,
			c.SnapshotBytes, c.SegmentBytes, c.SegmentNS/1e6)
		size := float64(workers)
		state = append(state, Point{size, c.StateBytes})
		place = append(place, Point{size, c.PlaceNS})
		rebuild = append(rebuild, Point{size, c.RecoverNS})
	}
	fmt.Fprintf(w, "\nSlopes for each worker: state %.0f bytes, placement %.2f ns, rebuild %.0f ns.\n",
		Fit(state).Slope, Fit(place).Slope, Fit(rebuild).Slope)
	return nil
}

func reportConfig(w io.Writer) {
	fmt.Fprintln(w, "\n## Configuration, 3 guaranteed shapes a team")
	fmt.Fprintln(w, "\n| teams | state bytes | snapshot bytes | change bytes | apply us |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	var state, apply []Point
	for _, teams := range []int{68, 200, Teams} {
		c := MeasureConfig(teams)
		fmt.Fprintf(w, "| %d | %.0f | %.0f | %.0f | %.0f |\n", c.Teams, c.StateBytes, c.SnapshotBytes, c.UpdateBytes, c.ApplyNS/1e3)
		state = append(state, Point{float64(teams), c.StateBytes})
		apply = append(apply, Point{float64(teams), c.ApplyNS})
	}
	fmt.Fprintf(w, "\nSlopes for each team: state %.0f bytes, apply %.0f ns.\n", Fit(state).Slope, Fit(apply).Slope)
}

func reportHomes(w io.Writer) {
	fmt.Fprintln(w, "\n## Home assignment")
	fmt.Fprintln(w, "\n| agents | ranges | whole frame bytes | table row bytes | ranges moved by one restart | their frame bytes | plan us |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, agents := range []int{11, 200, WorkersPerRegion} {
		c := MeasureHomes(agents)
		fmt.Fprintf(w, "| %d | %d | %.0f | %.0f | %d | %.0f | %.0f |\n",
			c.Agents, c.Ranges, c.FrameBytes, c.RowBytes, c.MovedRanges, c.DeltaBytes, c.PlanNS/1e3)
	}
}

func reportClaims(w io.Writer) {
	fmt.Fprintln(w, "\n## Claims of a home agent")
	fmt.Fprintln(w, "\n| claims kept | state bytes | claim ns |")
	fmt.Fprintln(w, "| --- | --- | --- |")
	var state []Point
	for _, claims := range []int{1000, 10000, 100000} {
		c := MeasureClaims(claims)
		fmt.Fprintf(w, "| %d | %.0f | %.0f |\n", c.Claims, c.StateBytes, c.ClaimNS)
		state = append(state, Point{float64(claims), c.StateBytes})
	}
	fmt.Fprintf(w, "\nSlope for each claim: %.0f bytes.\n", Fit(state).Slope)
}
