package scenario

import (
	"errors"
	"fmt"
	"os"

	"ryerill/internal/yamlfile"
)

// Read reads, completes and checks the scenario in a file. Its errors name file, line, column, key, value and remedy.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	return Parse(file, text)
}

// Parse does what Read does with a text; file is only named in errors.
func Parse(file string, text []byte) (*Scenario, error) {
	var s Scenario
	tree, err := yamlfile.Decode(file, text, &s)
	if err != nil {
		return nil, err
	}
	s.Complete()
	var problems []error
	for _, problem := range s.Check() {
		problems = append(problems, fmt.Errorf("%s%s: %w", file, tree.Position(problem.Key), problem))
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return &s, nil
}
