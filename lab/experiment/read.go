package experiment

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"github.com/goccy/go-yaml"

	"ryerill/balancer"
	"ryerill/internal/yamlfile"
	"ryerill/lab/baseline"
	"ryerill/lab/scenario"
	"ryerill/lab/statesyncsim"
)

const (
	maxSeeds           = 1000
	defaultConnections = 16
)

var (
	experimentName = regexp.MustCompile(`^[a-z0-9-]+$`)
	variantName    = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
)

// sharingDeciders are the deciders whose replicas share state; they play in virtual time only.
var sharingDeciders = statesyncsim.Variants[1:]

// Read reads and checks the experiment in a file. Its errors name file, line and key, all problems at once. short is
// whether the smaller form is wanted.
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
	c := &checker{Experiment: e, tree: tree, short: short}
	c.complete()
	c.checkHead()
	if short && e.Short.Seeds > 0 {
		e.Seeds = e.Short.Seeds
	}
	base, err := e.base()
	if err != nil {
		return nil, fmt.Errorf("%s%s: world: %w", path, tree.Position("world"), err)
	}
	names := map[string]bool{}
	for i := range e.Variants {
		if err := c.checkVariant(i, names, base); err != nil {
			return nil, err
		}
	}
	c.compileExpectations()
	return e, errors.Join(c.problems...)
}

// checker collects the problems of an experiment, so that all of them are reported at once.
type checker struct {
	*Experiment
	tree     yamlfile.Tree
	short    bool
	problems []error
}

// bad records an unexpected value.
func (c *checker) bad(key string, value any, want string) {
	c.report(key, yamlfile.Problem{Key: key, Value: value, Want: want})
}

// report records a problem with the position of its key.
func (c *checker) report(key string, err error) {
	c.problems = append(c.problems, fmt.Errorf("%s%s: %w", c.Path, c.tree.Position(key), err))
}

// complete fills in the defaults of what the file leaves out.
func (c *checker) complete() {
	if c.Host == "" {
		c.Host = Sim
	}
	for i := range c.Variants {
		variant := &c.Variants[i]
		if variant.Host == "" {
			variant.Host = c.Host
		}
		if variant.Connections == 0 {
			variant.Connections = defaultConnections
		}
	}
}

func (c *checker) checkHead() {
	if !experimentName.MatchString(c.Name) {
		c.bad("name", c.Name, "small letters, digits and dashes")
	}
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		c.bad("seeds", c.Seeds, fmt.Sprintf("a number from 1 to %d", maxSeeds))
	}
	if len(c.Variants) == 0 {
		c.bad("arms", 0, "one arm or more")
	}
}

// checkVariant checks a variant and adds its scenario. names holds the names of those before it.
func (c *checker) checkVariant(index int, names map[string]bool, base baseScenario) error {
	variant := &c.Variants[index]
	key := fmt.Sprintf("arms[%d]", index)
	if !variantName.MatchString(variant.Name) || names[variant.Name] {
		c.bad(key+".name", variant.Name,
			"a name that stands once: small letters, digits and underscores, a letter first")
	}
	if isReserved(variant.Name) {
		c.bad(key+".name", variant.Name, "another name: expectations use it as a word")
	}
	names[variant.Name] = true
	if !slices.Contains([]string{Sim, Sockets, Overhead}, variant.Host) {
		c.bad(key+".host", variant.Host, "sim, sockets or overhead")
	}
	c.checkDecider(key+".decider", variant)
	text, err := c.scenarioText(variant, base)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Path, err)
	}
	s, err := scenario.Parse(fmt.Sprintf("%s with what %s sets, as text", base.file, variant.Name), text)
	if err != nil {
		c.report(key, err)
	}
	c.checkHost(key+".host", variant, s)
	c.Scenarios = append(c.Scenarios, s)
	return nil
}

func (c *checker) checkDecider(key string, variant *Variant) {
	_, err := baseline.New(variant.Decider, balancer.Config{}, 0)
	if err != nil && !slices.Contains(sharingDeciders, variant.Decider) {
		c.bad(key, variant.Decider,
			"ryerill, shared, oracle, or a picker and a limit as in p2c/fixed:20 ("+err.Error()+")")
	}
	if variant.Host != Sim && variant.Decider != "" && variant.Decider != productDecider {
		c.bad(key, variant.Decider, "ryerill: other deciders play in virtual time only")
	}
}

// checkHost requires that the host can play the scenario, which is nil if it is at fault.
func (c *checker) checkHost(key string, variant *Variant, s *scenario.Scenario) {
	if s == nil {
		return
	}
	if variant.Host == Sockets && s.VirtualOnly() {
		c.bad(key, variant.Host, "sim: tenants that roam, uneven proxies and troubles between proxies "+
			"are played in virtual time")
	}
	if variant.Host == Sim && s.Parallel {
		c.bad(key, variant.Host, "sockets: the world's tiers are parallel")
	}
}

// compileExpectations needs a variant to compile for; that there is none is reported already.
func (c *checker) compileExpectations() {
	if len(c.Variants) == 0 {
		return
	}
	for i, text := range c.Expect {
		compiled, err := compile(text, c.Variants)
		if err != nil {
			key := fmt.Sprintf("expect[%d]", i)
			c.report(key, fmt.Errorf("%s: %w", key, err))
		}
		c.expectations = append(c.expectations, compiled)
	}
}

// scenarioText returns the scenario of a variant as YAML: what the experiment, the variant and the short form set is
// laid over the base.
func (c *checker) scenarioText(variant *Variant, base baseScenario) ([]byte, error) {
	merged := merge(base.tree, c.Set)
	merged = merge(merged, variant.Set)
	if c.short {
		merged = merge(merged, c.Short.Set)
	}
	return yaml.Marshal(merged)
}

// baseScenario is the scenario that all variants start from, as it is written.
type baseScenario struct {
	tree map[string]any
	file string
}

func (e *Experiment) base() (baseScenario, error) {
	switch written := e.Scenario.(type) {
	case string:
		file := filepath.Join(filepath.Dir(e.Path), written)
		text, err := os.ReadFile(file)
		if err != nil {
			return baseScenario{}, err
		}
		tree := map[string]any{}
		_, err = yamlfile.Decode(file, text, &tree)
		return baseScenario{tree, file}, err
	case map[string]any:
		return baseScenario{written, e.Path}, nil
	}
	return baseScenario{}, fmt.Errorf("unexpected value %q, want a file or a whole world", fmt.Sprint(e.Scenario))
}

// merge lays one mapping over another; what is no mapping is replaced.
func merge(under, over map[string]any) map[string]any {
	merged := maps.Clone(under)
	for key, value := range over {
		lower, lowerIsMapping := merged[key].(map[string]any)
		upper, upperIsMapping := value.(map[string]any)
		if lowerIsMapping && upperIsMapping {
			merged[key] = merge(lower, upper)
		} else {
			merged[key] = value
		}
	}
	return merged
}
