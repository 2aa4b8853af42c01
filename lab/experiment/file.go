// Package experiment plays scenarios over and over and checks what is expected of them. An experiment is a YAML file: a
// scenario, what differs between its variants, seeds, and expectations about the variants' metrics. With the same seed
// all variants receive the same requests, so that differences between them are paired.
package experiment

import (
	"fmt"
	"strings"

	"ryerill/lab/scenario"
)

// The hosts that can play a variant.
const (
	Sim      = "sim"      // virtual time, any decider
	Sockets  = "sockets"  // real proxies on loopback
	Overhead = "overhead" // what a proxy costs, compared with others
)

// productDecider is the decider of the product: the default, and the only one that real proxies have.
const productDecider = "ryerill"

// File is an experiment as it is written.
type File struct {
	Name     string         `yaml:"name" json:"name" jsonschema:"required"`
	About    string         `yaml:"about" json:"about,omitempty"`
	Scenario any            `yaml:"world" json:"world" jsonschema_description:"a file, relative to this one, or a whole world"`
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
	Path      string
	Scenarios []*scenario.Scenario // one for each variant

	expectations []expectation
}

// Describe returns a line that says what is played.
func (e *Experiment) Describe() string {
	var names []string
	for _, variant := range e.Variants {
		names = append(names, variant.Name)
	}
	return fmt.Sprintf("%s: %s, %d seeds each", e.Name, strings.Join(names, ", "), e.Seeds)
}
