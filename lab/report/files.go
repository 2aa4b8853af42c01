// Package report turns the results of an experiment into files that people read: tables in Markdown and CSV, charts as
// SVG and PNG, and one HTML page that opens without a network.
package report

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"ryerill/lab/experiment"
)

// Names of the files of a folder of results.
const (
	runsJSON = "runs.json"
	runsCSV  = "runs.csv"
	tableMD  = "table.md"
	pageHTML = "report.html"
)

// Modes of what is written.
const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Save writes results with their tables, charts and page into a folder, which is made if it is missing. The values are
// written first: a disk that fills up costs the pictures only.
func Save(dir string, res *experiment.Results) error {
	if err := saveValues(dir, res); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	charts, err := Charts(res)
	if err != nil {
		return err
	}
	for i := range charts {
		if err := charts[i].Save(dir); err != nil {
			return fmt.Errorf("results: %w", err)
		}
	}
	if err := savePage(filepath.Join(dir, pageHTML), res, charts); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

func saveValues(dir string, res *experiment.Results) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	text, err := json.Marshal(res)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, runsJSON), text, fileMode); err != nil {
		return err
	}
	if err := saveCSV(filepath.Join(dir, runsCSV), res); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, tableMD), []byte(Markdown(res)), fileMode)
}

// Page returns where the page of a folder lies.
func Page(dir string) string { return filepath.Join(dir, pageHTML) }

// Load reads the results that a folder holds.
func Load(dir string) (*experiment.Results, error) {
	file := filepath.Join(dir, runsJSON)
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	var res experiment.Results
	if err := json.Unmarshal(text, &res); err != nil {
		return nil, fmt.Errorf("results: %s: %w", file, err)
	}
	return &res, nil
}

// saveCSV writes all metrics, a row for each run.
func saveCSV(file string, res *experiment.Results) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	metrics := metricNames(res)
	rows := [][]string{append([]string{"arm", "seed", "void"}, metrics...)}
	for _, run := range res.Runs {
		row := []string{run.Variant, strconv.FormatUint(run.Seed, 10), run.Result.Void}
		for _, metric := range metrics {
			cell := ""
			if value, measured := run.Result.Metrics[metric]; measured {
				cell = strconv.FormatFloat(value, 'g', 7, 64)
			}
			row = append(row, cell)
		}
		rows = append(rows, row)
	}
	return csv.NewWriter(f).WriteAll(rows) // WriteAll flushes
}

// metricNames lists the metrics that any run has.
func metricNames(res *experiment.Results) []string {
	names := map[string]bool{}
	for _, run := range res.Runs {
		for name := range run.Result.Metrics {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
