package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The commands that measure in virtual time print their table, and write the same to a file.
func TestMeasuringCommandsPrintAndSaveTheirTable(t *testing.T) {
	for _, tc := range []struct {
		name  string
		args  []string
		row   string   // start of a row that the table has
		files []string // besides table.md
	}{
		{"members", []string{"members", "--sizes", "3", "--seeds", "1"}, "| 3 | 5% lost | 0.167 |",
			[]string{"runs.csv", "deaths.svg", "deaths.png", "bytes.svg"}},
		{"rollouts", []string{"rollouts", "--runs", "1"}, "| 12 | calm | 0 | fixed waits |", nil},
		{"chaos", []string{"night", "--copies", "8", "--nights", "2", "--length", "20s"}, "| 8 | 2 | 0.01 |", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "out")
			status, out, errs := run(t, append(tc.args, "--out", dir)...)
			if status != 0 || !strings.Contains(out, tc.row) {
				t.Fatalf("status %d, %s, without %q:\n%s", status, errs, tc.row, out)
			}
			table, err := os.ReadFile(filepath.Join(dir, "table.md"))
			if err != nil || !strings.HasSuffix(string(table), out) {
				t.Errorf("table.md: %v, not what was printed:\n%s", err, table)
			}
			for _, file := range tc.files {
				if info, err := os.Stat(filepath.Join(dir, file)); err != nil || info.Size() == 0 {
					t.Errorf("%s: %v", file, err)
				}
			}
		})
	}
}
