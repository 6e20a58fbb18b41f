package statechart

import (
	"fmt"
	"strings"
)

// RenderMarkdown returns a Markdown page with a Mermaid diagram and tables of
// states and transitions for each of the given charts.
func RenderMarkdown(charts []*Chart) string {
	var b strings.Builder
	b.WriteString("# State charts\n\nGenerated from `internal/statechart/charts/*.yaml` by " +
		"`go test ./internal/statechart -update`. The program interprets these files.\n")
	for _, c := range charts {
		renderChart(&b, c.definition)
	}
	return b.String()
}

func renderChart(b *strings.Builder, d Definition) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n```mermaid\nstateDiagram-v2\n    [*] --> %s\n", d.Name, d.Description, d.Initial)
	for _, t := range d.Transitions {
		fmt.Fprintf(b, "    %s --> %s: %s\n", t.From, t.To, t.Event)
	}
	for _, s := range d.States {
		if s.Final {
			fmt.Fprintf(b, "    %s --> [*]\n", s.Name)
		}
	}
	b.WriteString("```\n\n| state | meaning |\n| --- | --- |\n")
	for _, s := range d.States {
		fmt.Fprintf(b, "| %s | %s |\n", s.Name, s.Description)
	}
	b.WriteString("\n| from | event | to | event's meaning | what holds |\n| --- | --- | --- | --- | --- |\n")
	meaning := make(map[string]string, len(d.Events))
	for _, e := range d.Events {
		meaning[e.Name] = e.Description
	}
	for _, t := range d.Transitions {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", t.From, t.Event, t.To, meaning[t.Event], t.Note)
	}
}
