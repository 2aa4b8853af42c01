// Package route decides which pool a request goes to. It is pure: a Table is made
// once of rules, never changes, and may be used from many goroutines.
//
// A rule states a host, a path, methods, classes and headers; what it leaves
// out matches everything. Of the rules that match a request one takes precedence, by a
// total order:
//
//  1. the host: an exact one before a wildcard, a longer wildcard before a
//     shorter one, no host last;
//  2. the path, segment by segment from the left: a literal before {name},
//     {name} before *, and the path's end before *;
//  3. stated methods before any;
//  4. stated classes before any;
//  5. more headers before fewer.
//
// Two rules of equal precedence that one request may match are an error of the
// table, which names both and shows such a request.
package route

import (
	"errors"
)

// Bounds of a table. What exceeds them is a problem of the rule that does.
const (
	MaxRules    = 1 << 16
	MaxSegments = 64  // of a path; a request with more matches only rules that end with *
	MaxAlike    = 256 // rules of one host, path, method and class that differ in headers alone
)

// Rule is one route.
type Rule struct {
	Name    string
	Host    string   // "app.svc", "*.svc" for every name below it, "" for any
	Path    string   // "/a/b", "/a/{id}/b", "/a/*" for /a and all below it, "" for any
	Methods []string // none is any
	Classes []string // none is any
	Headers []Header // all must match
	Pool    string

	// Rewrite replaces the part before the * of the path, if it is stated.
	Rewrite string
}

// Header matches a request that has a header, with that value if one is stated.
type Header struct {
	Name  string
	Value string // empty is any
}

// Request is what a table finds a rule for.
type Request struct {
	Host   string // with or without a port
	Path   string // percent-encoded
	Method string
	Class  string
	Header func(name string) (value string, found bool)
}

// Errors of a request.
var (
	ErrNone = errors.New("no route meets the request")
	ErrPath = errors.New("the path has dot segments or a malformed escape")
)

// Kind is the kind of a problem.
type Kind string

// The kinds of problem. A shadowed rule is a warning; with any other problem there is no table.
const (
	Malformed   Kind = "malformed"   // a rule is not one
	Tie         Kind = "tie"         // two rules take precedence for one request
	Unreachable Kind = "unreachable" // no request can match the rule
	Shadowed    Kind = "shadowed"    // others take precedence wherever the rule matches
)

// Problem is one thing that is wrong with the rules.
type Problem struct {
	Kind    Kind
	Rules   []int  // indices; the one at fault first
	Field   string // of the first rule
	Text    string // for people
	Example string // a request that shows it
}

// Fatal reports whether there is no table because of it.
func (p Problem) Fatal() bool { return p.Kind != Shadowed }

// Error describes the problem, with an example if there is one.
func (p Problem) Error() string {
	if p.Example == "" {
		return p.Text
	}
	return p.Text + ", as for " + p.Example
}

// Vocabulary is the methods and classes that requests can have; an empty list is any. It serves to find rules that are
// shadowed.
type Vocabulary struct {
	Methods []string
	Classes []string
}
