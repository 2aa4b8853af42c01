package report

import (
	_ "embed" // the page's template
	"errors"
	"html/template"
	"os"

	"ryerill/lab/experiment"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is what the page's template shows.
type pageData struct {
	Results     *experiment.Results
	Head        []string
	Rows        [][]string
	Differences [][]string
	Violations  []string
	Charts      []template.HTML
}

func savePage(file string, res *experiment.Results, charts []Chart) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	head, rows := metricsTable(res)
	data := pageData{
		Results:     res,
		Head:        head,
		Rows:        rows,
		Differences: differences(res, comparedMetric),
		Violations:  violations(res),
	}
	for i := range charts {
		data.Charts = append(data.Charts, template.HTML(charts[i].inline()))
	}
	return pageTemplate.Execute(f, data)
}
