package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/capacity"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/tools/localregion"
)

const (
	// settleTime lets a region connect and elect before it is measured.
	settleTime = 5 * time.Second
	// sampleTime is how long a region is measured.
	sampleTime = 10 * time.Second
	// ticksPerSecond is the unit of processor times in /proc (USER_HZ).
	ticksPerSecond = 100
	// bytesPerPage is the page size of resident sizes in /proc.
	bytesPerPage = 4096
)

// usage is what one process used so far.
type usage struct {
	cpuSeconds float64
	rssBytes   float64
	linkBytes  float64
	frames     float64
}

// rate is what one process used each second, and its memory.
type rate struct {
	name      string
	coreShare float64
	rssBytes  float64
	// bytesPerSecond is link payload with the transport's overhead.
	bytesPerSecond float64
	frames         float64
}

// measureProcesses measures idle regions of several numbers of agents.
func measureProcesses(w io.Writer, d settings.Deployment, binaries string, agentCounts []int) error {
	if len(agentCounts) == 0 {
		return nil
	}
	fmt.Fprintln(w, "\n## Idle processes, 3 entry hosts")
	fmt.Fprintln(w, "\n| agents | process | core share | resident bytes | link bytes a second | frames a second |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	series := map[string][]capacity.Point{}
	for _, agents := range agentCounts {
		d.Agents = agents
		rates, err := measureRegion(d, binaries)
		if err != nil {
			return err
		}
		for _, r := range rates {
			fmt.Fprintf(w, "| %d | %s | %.4f | %.0f | %.0f | %.1f |\n", agents, r.name, r.coreShare, r.rssBytes, r.bytesPerSecond, r.frames)
			size := float64(agents)
			series[r.name+" core share"] = append(series[r.name+" core share"], capacity.Point{Size: size, Cost: r.coreShare})
			series[r.name+" resident bytes"] = append(series[r.name+" resident bytes"], capacity.Point{Size: size, Cost: r.rssBytes})
			series[r.name+" bytes a second"] = append(series[r.name+" bytes a second"], capacity.Point{Size: size, Cost: r.bytesPerSecond})
		}
	}
	fmt.Fprintln(w, "\n| figure | fixed | for each agent |")
	fmt.Fprintln(w, "| --- | --- | --- |")
	for _, role := range []string{"entry", "agent"} {
		for _, figure := range []string{"core share", "resident bytes", "bytes a second"} {
			line := capacity.Fit(series[role+" "+figure])
			fmt.Fprintf(w, "| %s %s | %.5g | %.5g |\n", role, figure, line.Fixed, line.Slope)
		}
	}
	return nil
}

// measureRegion returns the mean rates of the entry hosts and of the agents.
func measureRegion(d settings.Deployment, binaries string) ([]rate, error) {
	var rates []rate
	err := withRegion(d, binaries, func(r *localregion.Region) error {
		before, after, err := sample(r)
		if err != nil {
			return err
		}
		rates = []rate{
			meanRate("entry", before[:d.Entries], after[:d.Entries]),
			meanRate("agent", before[d.Entries:], after[d.Entries:]),
		}
		return nil
	})
	return rates, err
}

// withRegion starts a region, calls measure and stops the region.
func withRegion(d settings.Deployment, binaries string, measure func(*localregion.Region) error) error {
	folder, err := os.MkdirTemp("", "dragonflyyard-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r, err := localregion.New(d, binaries, folder)
	if err != nil {
		return err
	}
	defer r.StopAll()
	if err := r.Start(); err != nil {
		return err
	}
	return measure(r)
}

// sample reads the usage of all processes at the begin and at the end of
// sampleTime, after the region has settled.
func sample(r *localregion.Region) (before, after []usage, err error) {
	time.Sleep(settleTime)
	if before, err = readAll(r); err != nil {
		return nil, nil, err
	}
	time.Sleep(sampleTime)
	after, err = readAll(r)
	return before, after, err
}

// readAll reads the usage of the entry hosts, then of the agents.
func readAll(r *localregion.Region) ([]usage, error) {
	var out []usage
	for i, c := range r.Entries {
		u, err := readUsage(r, c.PID(), r.Deployment.EntryHTTPAddress(i))
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	for i, c := range r.Agents {
		u, err := readUsage(r, c.PID(), r.Deployment.AgentHTTPAddress(i))
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

func readUsage(r *localregion.Region, pid int, address string) (usage, error) {
	var u usage
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return u, err
	}
	// Fields are counted from the end of the command name, which may hold spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	const userTime, systemTime, resident = 11, 12, 21
	if len(fields) <= resident {
		return u, errors.Newf("unexpected /proc stat of process %d", pid)
	}
	u.cpuSeconds = (number(fields[userTime]) + number(fields[systemTime])) / ticksPerSecond
	u.rssBytes = number(fields[resident]) * bytesPerPage
	response, err := r.HTTP.Get("http://" + address + "/metrics")
	if err != nil {
		return u, err
	}
	defer func() { _ = response.Body.Close() }()
	var metrics map[string]map[string]any
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return u, errors.Wrap(err, "decode metrics")
	}
	u.linkBytes = count(metrics, "link.bytes_in") + count(metrics, "link.bytes_out")
	u.frames = count(metrics, "link.frames_in") + count(metrics, "link.frames_out")
	return u, nil
}

func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}

func count(metrics map[string]map[string]any, name string) float64 {
	value, _ := metrics[name]["count"].(float64)
	return value
}

func meanRate(name string, before, after []usage) rate {
	r := rate{name: name}
	n := float64(len(before))
	seconds := sampleTime.Seconds()
	for i := range before {
		frames := after[i].frames - before[i].frames
		r.coreShare += (after[i].cpuSeconds - before[i].cpuSeconds) / seconds / n
		r.rssBytes += after[i].rssBytes / n
		r.frames += frames / seconds / n
		r.bytesPerSecond += (after[i].linkBytes - before[i].linkBytes + frames*capacity.PacketOverheadBytes) / seconds / n
	}
	return r
}
