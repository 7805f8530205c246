package burn

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteJSON writes the report as one JSON object.
func WriteJSON(w io.Writer, r Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as a table for a terminal.
func WriteText(w io.Writer, r Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\n", headline(r))
	fmt.Fprintln(table, "LEVEL\tSERVICE\tTEAM\tTARGET\t5M\t30M\t1H\t6H\tBAD 6H\tP50\tP99\tNOT RUN\tMAY HAVE RUN")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%dms\t%dms\t%d\t%d\n",
			row.Level, printable(row.Service), row.teamName(), percent(row.Target),
			strings.Join(row.burns(), "\t"), row.Windows[at6h].Bad,
			row.P50Millis, row.P99Millis, row.Verdicts.NotRun, row.Verdicts.MayHaveRun)
	}
	return table.Flush() // returns the errors of the writes above
}

func headline(r Report) string {
	line := fmt.Sprintf("Error budget burn at %s, from %d daemons", r.Time.Format(time.RFC3339), r.Daemons)
	if len(r.Missing) > 0 {
		line += "; missing: " + strings.Join(r.Missing, ", ")
	}
	return line
}

// printable replaces characters of a name that could move the terminal's cursor or
// break the columns.
func printable(name string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return '?'
		}
		return c
	}, name)
}

func (r Row) teamName() string {
	if r.Team == "" {
		return "(all)"
	}
	return printable(r.Team)
}

func percent(share float64) string { return fmt.Sprintf("%.4g%%", share*100) }

func (r Row) burns() []string {
	var out []string
	for _, w := range r.Windows {
		out = append(out, fmt.Sprintf("%.2f", w.Burn))
	}
	return out
}

// page is the data of the HTML template.
type page struct {
	Headline string
	Rows     []pageRow
	Plot     template.URL // a PNG as data URL
	FastBurn float64
	SlowBurn float64
}

// pageRow is a row of the report with its numbers as text.
type pageRow struct {
	Row
	TeamName string
	Percent  string
	Burns    []string
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Error budget burn</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { padding: 0.3em 0.8em; border-bottom: 1px solid #ccc; text-align: right; }
th.name, td.name { text-align: left; }
tr.fast { background: #f8d0d0; }
tr.slow { background: #fbeec2; }
img { max-width: 100%; margin-top: 1.5em; }
</style>
</head>
<body>
<h1>Error budget burn</h1>
<p>{{.Headline}}</p>
<table>
<tr><th class="name">Level</th><th class="name">Service</th><th class="name">Team</th><th>Target</th>
<th>5m</th><th>30m</th><th>1h</th><th>6h</th><th>Bad in 6h</th><th>p50 ms</th><th>p99 ms</th><th>Not run</th><th>May have run</th></tr>
{{- range .Rows}}
<tr class="{{.Level}}"><td class="name">{{.Level}}</td><td class="name">{{.Service}}</td><td class="name">{{.TeamName}}</td><td>{{.Percent}}</td>
{{- range .Burns}}<td>{{.}}</td>{{end -}}
<td>{{(index .Windows 3).Bad}}</td><td>{{.P50Millis}}</td><td>{{.P99Millis}}</td><td>{{.Verdicts.NotRun}}</td><td>{{.Verdicts.MayHaveRun}}</td></tr>
{{- else}}
<tr><td class="name" colspan="13">No requests recorded.</td></tr>
{{- end}}
</table>
<p>fast: burn of {{.FastBurn}} or more over 1h and 5m. slow: {{.SlowBurn}} or more over 6h and 30m.</p>
{{if .Plot}}<img alt="Burn over the last six hours" src="{{.Plot}}">{{end}}
</body>
</html>
`))

// WriteHTML writes the report as one self-contained page with a plot.
func WriteHTML(w io.Writer, r Report) error {
	p := page{Headline: headline(r), FastBurn: FastBurn, SlowBurn: SlowBurn}
	for _, row := range r.Rows {
		p.Rows = append(p.Rows, pageRow{row, row.teamName(), percent(row.Target), row.burns()})
	}
	if len(r.Rows) > 0 {
		var png bytes.Buffer
		if err := WritePNG(&png, r); err != nil {
			return err
		}
		p.Plot = template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png.Bytes()))
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("write burn page: %w", err)
	}
	return nil
}
