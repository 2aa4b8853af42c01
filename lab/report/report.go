package report

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"html/template"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"ryerill/lab/experiment"
)

// Names of the files of a folder of results.
const (
	runsJSON = "runs.json"
	runsCSV  = "runs.csv"
	tableMD  = "table.md"
	pageHTML = "report.html"
)

// defaultTable are the metrics of a table that the experiment doesn't choose.
var defaultTable = []string{"goodput", "worst_class", "worst10", "p50", "p95", "refused", "failed", "overdue", "attempts", "waste", "recover", "jammed", "violations"}

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// Save writes results with their tables, charts and page into a folder. The
// figures are written first: a disk that fills up costs the pictures only.
func Save(dir string, res *experiment.Results) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	text, err := json.Marshal(res)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, runsJSON), text, 0o644); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if err := saveCSV(filepath.Join(dir, runsCSV), res); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, tableMD), []byte(Markdown(res)), 0o644); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	charts, err := Charts(res)
	if err != nil {
		return err
	}
	for i := range charts {
		if err := charts[i].save(dir); err != nil {
			return fmt.Errorf("results: %w", err)
		}
	}
	return savePage(filepath.Join(dir, pageHTML), res, charts)
}

// Page is where the page of a folder lies.
func Page(dir string) string { return filepath.Join(dir, pageHTML) }

// Load reads the results that a folder holds.
func Load(dir string) (*experiment.Results, error) {
	text, err := os.ReadFile(filepath.Join(dir, runsJSON))
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	var res experiment.Results
	if err := json.Unmarshal(text, &res); err != nil {
		return nil, fmt.Errorf("results: %s: %w", filepath.Join(dir, runsJSON), err)
	}
	return &res, nil
}

func saveCSV(file string, res *experiment.Results) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	names := map[string]bool{}
	for _, r := range res.Runs {
		for n := range r.Result.Metrics {
			names[n] = true
		}
	}
	columns := sorted(names)
	w := csv.NewWriter(f)
	w.Write(append([]string{"arm", "seed", "void"}, columns...))
	for _, r := range res.Runs {
		row := []string{r.Variant, strconv.FormatUint(r.Seed, 10), r.Result.Void}
		for _, n := range columns {
			v, ok := r.Result.Metrics[n]
			if !ok {
				row = append(row, "")
				continue
			}
			row = append(row, strconv.FormatFloat(v, 'g', 7, 64))
		}
		w.Write(row)
	}
	w.Flush()
	return w.Error()
}

// table is the arms' figures, one row an arm.
func table(res *experiment.Results) (head []string, rows [][]string) {
	metrics := res.Tables
	if len(metrics) == 0 {
		metrics = defaultTable
	}
	head = append([]string{"arm", "runs"}, metrics...)
	for _, arm := range res.Variants {
		usable := 0
		for _, r := range res.Of(arm) {
			if r.Result.Void == "" {
				usable++
			}
		}
		row := []string{arm, strconv.Itoa(usable)}
		for _, m := range metrics {
			vs := res.Values(arm, m)
			switch {
			case len(vs) == 0:
				row = append(row, "-")
			case len(vs) == 1:
				row = append(row, number(vs[0]))
			default:
				row = append(row, number(experiment.Mean(vs))+" ± "+number(experiment.Deviation(vs)))
			}
		}
		rows = append(rows, row)
	}
	return head, rows
}

// number shows three or four digits that matter.
func number(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case v == math.Trunc(v) && a < 1e6:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case a >= 100:
		return strconv.FormatFloat(v, 'f', 1, 64)
	case a >= 0.001:
		return strconv.FormatFloat(v, 'f', 3, 64)
	}
	return strconv.FormatFloat(v, 'g', 2, 64)
}

// differences compares each arm with the first, paired by seed.
func differences(res *experiment.Results, metric string) (rows [][]string) {
	for _, arm := range res.Variants[min(1, len(res.Variants)):] {
		d := res.Paired(metric, res.Variants[0], arm)
		if d.N < 2 {
			continue
		}
		rows = append(rows, []string{res.Variants[0] + " - " + arm, number(d.Mean), number(d.Low) + " to " + number(d.High), strconv.Itoa(d.N)})
	}
	return rows
}

func markdown(b *strings.Builder, head []string, rows [][]string) {
	fmt.Fprintf(b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, r := range rows {
		fmt.Fprintf(b, "| %s |\n", strings.Join(r, " | "))
	}
	b.WriteByte('\n')
}

// Markdown is the results as tables.
func Markdown(res *experiment.Results) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n", res.Name, strings.TrimSpace(res.About))
	if res.CutOff != "" {
		fmt.Fprintf(&b, "**Cut off: %s.**\n\n", res.CutOff)
	}
	if res.Short {
		b.WriteString("The short form was played.\n\n")
	}
	b.WriteString("Mean ± standard deviation over runs.\n\n")
	head, rows := table(res)
	markdown(&b, head, rows)
	if rows := differences(res, "goodput"); len(rows) > 0 {
		b.WriteString("Differences of goodput, paired by seed, with the 95% interval of their mean (bootstrap):\n\n")
		markdown(&b, []string{"arms", "difference", "interval", "pairs"}, rows)
	}
	if len(res.Expects) > 0 {
		b.WriteString("Expectations:\n\n")
		markdown(&b, []string{"expected", "held", "figures"}, expectations(res))
	}
	if v := violations(res); len(v) > 0 {
		b.WriteString("Broken rules (the first of each arm and rule):\n\n")
		for _, line := range v {
			b.WriteString("- " + line + "\n")
		}
	}
	return b.String()
}

func expectations(res *experiment.Results) (rows [][]string) {
	for i := range res.Expects {
		e := &res.Expects[i]
		held := "no"
		if e.Held {
			held = "yes"
		}
		figures := e.Figures()
		if e.Fault != "" {
			figures = e.Fault
		}
		rows = append(rows, []string{"`" + strings.ReplaceAll(e.Text, "|", "\\|") + "`", held, figures})
	}
	return rows
}

func violations(res *experiment.Results) (lines []string) {
	seen := map[string]bool{}
	for _, r := range res.Runs {
		for _, v := range r.Result.Violations {
			if k := r.Variant + " " + v.Rule; !seen[k] {
				seen[k] = true
				lines = append(lines, fmt.Sprintf("%s, seed %d, %s at %.3f s: %s", r.Variant, r.Seed, v.Rule, v.At.Seconds(), v.Evidence))
			}
		}
		if r.Result.Void != "" {
			lines = append(lines, fmt.Sprintf("%s, seed %d is void: %s", r.Variant, r.Seed, r.Result.Void))
		}
	}
	return lines
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Res.Name}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0;font-size:13px;display:block;overflow-x:auto}
td,th{border:1px solid #ccc;padding:3px 8px;text-align:right;white-space:nowrap}
td:first-child,th:first-child{text-align:left}
.yes{color:#060}.no{color:#a00;font-weight:bold}
svg{max-width:100%;height:auto;border:1px solid #e4e4e4;margin:.6em 0}
code{font-size:13px}
</style></head><body>
<h1>{{.Res.Name}}</h1><p>{{.Res.About}}</p>
{{if .Res.CutOff}}<p class="no">Cut off: {{.Res.CutOff}}</p>{{end}}
{{if .Res.Expects}}<h2>Expectations</h2><table><tr><th>expected</th><th>held</th><th>figures</th></tr>
{{range .Res.Expects}}<tr><td><code>{{.Text}}</code></td>{{if .Held}}<td class="yes">yes</td>{{else}}<td class="no">no</td>{{end}}<td>{{if .Fault}}{{.Fault}}{{else}}{{.Figures}}{{end}}</td></tr>{{end}}
</table>{{end}}
<h2>Figures</h2><p>Mean ± standard deviation over runs.</p>
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{if .Differences}}<p>Differences of goodput, paired by seed, with the 95% interval of their mean:</p>
<table><tr><th>arms</th><th>difference</th><th>interval</th><th>pairs</th></tr>{{range .Differences}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
{{if .Broken}}<h2>Broken rules and void runs</h2><ul>{{range .Broken}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Charts</h2>{{range .Charts}}<div>{{.}}</div>{{end}}
</body></html>
`))

func savePage(file string, res *experiment.Results, charts []Chart) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	defer func() {
		if e := f.Close(); err == nil && e != nil {
			err = fmt.Errorf("results: %w", e)
		}
	}()
	data := struct {
		Res         *experiment.Results
		Head        []string
		Rows        [][]string
		Differences [][]string
		Broken      []string
		Charts      []template.HTML
	}{Res: res, Differences: differences(res, "goodput"), Broken: violations(res)}
	data.Head, data.Rows = table(res)
	for i := range charts {
		data.Charts = append(data.Charts, template.HTML(charts[i].inline()))
	}
	if err := page.Execute(f, data); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// Compare sets the runs of two folders side by side: for each arm that both
// have, the difference of each metric, paired by seed.
func Compare(a, b *experiment.Results) string {
	var s strings.Builder
	metrics := a.Tables
	if len(metrics) == 0 {
		metrics = defaultTable
	}
	var rows [][]string
	for _, arm := range a.Variants {
		for _, m := range metrics {
			both := &experiment.Results{Variants: []string{"a", "b"}}
			for i, from := range []*experiment.Results{a, b} {
				for _, r := range from.Of(arm) {
					r.Variant = both.Variants[i]
					both.Runs = append(both.Runs, r)
				}
			}
			d := both.Paired(m, "b", "a")
			if d.N == 0 {
				continue
			}
			word := ""
			if d.Low > 0 || d.High < 0 {
				word = "differs"
			}
			rows = append(rows, []string{arm, m, number(experiment.Mean(both.Values("a", m))), number(experiment.Mean(both.Values("b", m))),
				number(d.Mean), number(d.Low) + " to " + number(d.High), strconv.Itoa(d.N), word})
		}
	}
	if len(rows) == 0 {
		return "The two have no arm and seed in common.\n"
	}
	markdown(&s, []string{"arm", "metric", "A", "B", "B - A", "95% interval", "pairs", ""}, rows)
	return s.String()
}
