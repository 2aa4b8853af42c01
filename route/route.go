// Package route selects the pool for a request. It does no I/O. A [Table] is built
// from rules, is immutable, and is safe for concurrent use.
//
// A rule states a host, a path, methods, classes and headers; a field that is not
// stated matches everything. If several rules match a request, the order of
// precedence is:
//
//  1. the host: an exact host before a wildcard, a longer wildcard before a
//     shorter one, a rule without a host last;
//  2. the path, segment by segment from the left: a literal before {name},
//     {name} before *, and the end of the path before *;
//  3. rules that state methods before rules that don't;
//  4. rules that state classes before rules that don't;
//  5. more headers before fewer.
//
// If one request can match two rules of equal precedence, [New] reports a problem
// with both names and an example request.
package route

import (
	"errors"
)

// Limits of a table. [New] reports a problem for a rule that exceeds one.
const (
	MaxRules          = 1 << 16
	MaxSegments       = 64  // segments of a path; a request with more matches only rules with * or without a path
	MaxHeaderVariants = 256 // rules that differ only in their headers
)

// Rule is a route as configured.
type Rule struct {
	Name    string
	Host    string   // "app.svc", "*.svc" for every name below svc, "" for any
	Path    string   // "/a/b", "/a/{id}/b", "/a/*" for /a and all paths below it, "" for any
	Methods []string // empty for any
	Classes []string // empty for any
	Headers []Header // all must match
	Pool    string

	// Rewrite, if not empty, replaces the part of the path before the *.
	Rewrite string
}

// Header matches requests with a header of that name, and with that value if one is stated.
type Header struct {
	Name  string
	Value string // empty for any
}

// Request holds the properties of a request that rules can match.
type Request struct {
	Host   string // with or without a port
	Path   string // percent-encoded
	Method string
	Class  string
	Header func(name string) (value string, found bool)
}

// Errors returned by Find.
var (
	ErrNone = errors.New("no route meets the request")
	ErrPath = errors.New("the path has dot segments or a malformed escape")
)

// Kind is the kind of a Problem.
type Kind string

// The kinds of problems. A shadowed rule is a warning; any other problem prevents the table from being built.
const (
	Malformed   Kind = "malformed"   // a field of the rule is invalid
	Tie         Kind = "tie"         // two rules of equal precedence match one request
	Unreachable Kind = "unreachable" // no request can match the rule
	Shadowed    Kind = "shadowed"    // other rules take precedence for all its requests
)

// Problem is a fault in the rules.
type Problem struct {
	Kind    Kind
	Rules   []int  // indices of the rules; the rule at fault first
	Field   string // name of the field of the first rule
	Text    string // description for operators
	Example string // a request that shows the problem; may be empty
}

// Fatal reports whether the problem prevents the table from being built.
func (p Problem) Fatal() bool { return p.Kind != Shadowed }

// Error describes the problem, with an example if there is one.
func (p Problem) Error() string {
	if p.Example == "" {
		return p.Text
	}
	return p.Text + ", as for " + p.Example
}

// Vocabulary lists the methods and classes that requests can have; an empty list stands for any. [New] uses it to find
// shadowed rules.
type Vocabulary struct {
	Methods []string
	Classes []string
}
