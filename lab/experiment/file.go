// Package experiment plays worlds over and over and says whether what was
// expected of them holds. An experiment is a YAML file: a world, what varies
// between its arms, seeds, and expectations about the arms' figures. The arms
// of a seed meet the same requests, so that differences are paired.
package experiment

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"ryerill/balancer"
	"ryerill/internal/yamlfile"
	"ryerill/lab/baseline"
	"ryerill/lab/scenario"
	"ryerill/lab/statesyncsim"
)

// The hosts that can play an arm.
const (
	Sim      = "sim"      // virtual time, any decider
	Sockets  = "sockets"  // real proxies on loopback
	Overhead = "overhead" // what a proxy costs, against others
)

// File is an experiment as it is written.
type File struct {
	Name     string         `yaml:"name" json:"name" jsonschema:"required"`
	About    string         `yaml:"about" json:"about,omitempty"`
	World    any            `yaml:"world" json:"world" jsonschema_description:"a file, relative to this one, or a whole world"`
	Set      map[string]any `yaml:"set" json:"set,omitempty" jsonschema_description:"replaces keys of the world; mappings are merged"`
	Host     string         `yaml:"host" json:"host,omitempty" jsonschema:"enum=sim,enum=sockets,enum=overhead" jsonschema_description:"default sim"`
	Seeds    int            `yaml:"seeds" json:"seeds" jsonschema:"minimum=1,maximum=1000"`
	Variants []Variant      `yaml:"arms" json:"arms" jsonschema:"minItems=1"`
	Short    Short          `yaml:"short" json:"short,omitempty" jsonschema_description:"what --short changes"`
	Expect   []string       `yaml:"expect" json:"expect,omitempty" jsonschema_description:"conditions, as in goodput(a) >= 1.1 * goodput(b)"`
	Tables   []string       `yaml:"tables" json:"tables,omitempty" jsonschema_description:"metrics that the table shows"`
}

// Variant is one of the things compared.
type Variant struct {
	Name        string         `yaml:"name" json:"name" jsonschema:"required"`
	Decider     string         `yaml:"decider" json:"decider,omitempty" jsonschema_description:"ryerill (default); shared: its copies share quotas and evidence; oracle: and hear each other at once; or a picker and a limit: p2c, least/fixed:20, random/gradient"`
	Host        string         `yaml:"host" json:"host,omitempty"`
	Build       string         `yaml:"build" json:"build,omitempty" jsonschema_description:"sockets: a ryerill binary, default the proxy built into the laboratory; overhead: ryerill, relay or reverseproxy"`
	Connections int            `yaml:"connections" json:"connections,omitempty" jsonschema_description:"overhead: how many ask at once; default 16"`
	Set         map[string]any `yaml:"set" json:"set,omitempty"`
}

// Short is a smaller form of the experiment.
type Short struct {
	Seeds int            `yaml:"seeds" json:"seeds,omitempty"`
	Set   map[string]any `yaml:"set" json:"set,omitempty"`
}

// Experiment is a file that was read and checked.
type Experiment struct {
	File
	Path   string
	Worlds []*scenario.Scenario // by arm

	checks []check
}

var armName = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// Read reads and checks the experiment in a file. Its errors name file, line
// and key. Short is whether the smaller form is asked for.
func Read(path string, short bool) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	e := &Experiment{Path: path}
	tree, err := yamlfile.Decode(path, text, &e.File)
	if err != nil {
		return nil, err
	}
	var problems []error
	bad := func(key string, value any, want string) {
		problems = append(problems, fmt.Errorf("%s%s: %w", path, tree.Position(key), scenario.Problem{Key: key, Value: value, Want: want}))
	}
	if !regexp.MustCompile(`^[a-z0-9-]+$`).MatchString(e.Name) {
		bad("name", e.Name, "small letters, digits and dashes")
	}
	if e.Host == "" {
		e.Host = Sim
	}
	if e.Seeds < 1 || e.Seeds > 1000 {
		bad("seeds", e.Seeds, "a number from 1 to 1000")
	}
	if len(e.Variants) == 0 {
		bad("arms", 0, "one arm or more")
	}
	if short && e.Short.Seeds > 0 {
		e.Seeds = e.Short.Seeds
	}
	base, from, err := e.base()
	if err != nil {
		return nil, fmt.Errorf("%s%s: world: %w", path, tree.Position("world"), err)
	}
	names := map[string]bool{}
	for i := range e.Variants {
		a, at := &e.Variants[i], fmt.Sprintf("arms[%d]", i)
		if !armName.MatchString(a.Name) || names[a.Name] {
			bad(at+".name", a.Name, "a name that stands once: small letters, digits and underscores, a letter first")
		}
		if reserved(a.Name) {
			bad(at+".name", a.Name, "another name: expectations use it as a word")
		}
		names[a.Name] = true
		if a.Host == "" {
			a.Host = e.Host
		}
		if !slices.Contains([]string{Sim, Sockets, Overhead}, a.Host) {
			bad(at+".host", a.Host, "sim, sockets or overhead")
		}
		if a.Connections == 0 {
			a.Connections = 16
		}
		if _, err := baseline.New(a.Decider, balancer.Config{}, 0); err != nil && !slices.Contains(statesyncsim.Variants[1:], a.Decider) {
			bad(at+".decider", a.Decider, "ryerill, shared, oracle, or a picker and a limit as in p2c/fixed:20 ("+err.Error()+")")
		}
		if a.Host != Sim && a.Decider != "" && a.Decider != "ryerill" {
			bad(at+".decider", a.Decider, "ryerill: other deciders play in virtual time only")
		}
		sets := []map[string]any{base, e.Set, a.Set}
		if short {
			sets = append(sets, e.Short.Set)
		}
		merged := map[string]any{}
		for _, s := range sets {
			merged = merge(merged, s)
		}
		text, err := yaml.Marshal(merged)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		w, err := scenario.Parse(fmt.Sprintf("%s with what %s sets, as text", from, a.Name), text)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s%s: %w", path, tree.Position(at), err))
		}
		if w != nil && a.Host == Sockets && w.VirtualOnly() {
			bad(at+".host", a.Host, "sim: tenants that roam, uneven proxies and troubles between proxies are played in virtual time")
		}
		if w != nil && w.Parallel && a.Host == Sim {
			bad(at+".host", a.Host, "sockets: the world's tiers are parallel")
		}
		e.Worlds = append(e.Worlds, w)
	}
	for i, text := range e.Expect {
		c, err := compile(text, e.Variants)
		if err != nil {
			key := fmt.Sprintf("expect[%d]", i)
			problems = append(problems, fmt.Errorf("%s%s: %s: %w", path, tree.Position(key), key, err))
		}
		e.checks = append(e.checks, c)
	}
	return e, errors.Join(problems...)
}

// base is the world that the arms start from, as it is written.
func (e *Experiment) base() (map[string]any, string, error) {
	switch w := e.World.(type) {
	case string:
		file := filepath.Join(filepath.Dir(e.Path), w)
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, "", err
		}
		tree := map[string]any{}
		if _, err := yamlfile.Decode(file, text, &tree); err != nil {
			return nil, "", err
		}
		return tree, file, nil
	case map[string]any:
		return w, e.Path, nil
	}
	return nil, "", fmt.Errorf("unexpected value %q, want a file or a whole world", fmt.Sprint(e.World))
}

// merge lays one mapping over another; what is no mapping is replaced.
func merge(under, over map[string]any) map[string]any {
	out := maps.Clone(under)
	for k, v := range over {
		if a, ok := out[k].(map[string]any); ok {
			if b, ok := v.(map[string]any); ok {
				out[k] = merge(a, b)
				continue
			}
		}
		out[k] = v
	}
	return out
}

// Describe says in a line what is played.
func (e *Experiment) Describe() string {
	var arms []string
	for _, a := range e.Variants {
		arms = append(arms, a.Name)
	}
	return fmt.Sprintf("%s: %s, %d seeds each", e.Name, strings.Join(arms, ", "), e.Seeds)
}
