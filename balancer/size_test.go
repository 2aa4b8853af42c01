package balancer

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// policyFiles hold every decision, and nothing else does.
var policyFiles = []string{"admission.go", "balancer.go", "endpoint.go", "endpointlist.go", "health.go", "keyorder.go",
	"limiter.go", "picker.go", "request.go", "subset.go", "warmup.go"}

const (
	maxPolicyLines = 729 // that are not blank, of all policy files; the deployment allows 730
	maxLineLength  = 110
)

func TestSizeOfTheModule(t *testing.T) {
	lines := 0
	for _, name := range policyFiles {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				lines++
			}
			if len(line) > maxLineLength {
				t.Errorf("%s: line %d has %d characters", name, i+1, len(line))
			}
		}
	}
	if lines > maxPolicyLines {
		t.Errorf("%d lines, at most %d wanted", lines, maxPolicyLines)
	}
}

// The deployment counts the files that its policy names: they are those counted above.
func TestDeploymentNamesThePolicyFiles(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if policy == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	var named []string
	for _, path := range strings.Split(string(policy[1]), ", ") {
		named = append(named, strings.TrimPrefix(strings.Trim(path, `"`), "balancer/"))
	}
	slices.Sort(named)
	if !slices.Equal(named, policyFiles) {
		t.Errorf("the deployment names %v, want %v", named, policyFiles)
	}
}
