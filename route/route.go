// Package route says which pool a request goes to. It is pure: a Table is made
// once of rules, never changes, and may be asked from many goroutines.
//
// A rule states a host, a path, methods, classes and headers; what it leaves
// out meets everything. Of the rules that meet a request one goes first, by an
// order that is total:
//
//  1. the host: an exact one before a wildcard, a longer wildcard before a
//     shorter one, no host last;
//  2. the path, segment by segment from the left: a literal before {name},
//     {name} before *, and the path's end before *;
//  3. stated methods before any;
//  4. stated classes before any;
//  5. more headers before fewer.
//
// Two rules that this order can't tell apart and that one request may meet are
// an error of the table, which names both and shows such a request.
package route

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Bounds of a table. What goes beyond is a problem of the rule that does.
const (
	MaxRules    = 1 << 16
	MaxSegments = 64  // of a path; a request with more meets only a rest
	MaxAlike    = 256 // rules of one host, path, method and class that differ in headers alone
)

// Rule is one route.
type Rule struct {
	Name    string
	Host    string   // "app.svc", "*.svc" for every name below it, "" for any
	Path    string   // "/a/b", "/a/{id}/b", "/a/*" for /a and all below it, "" for any
	Methods []string // none is any
	Classes []string // none is any
	Headers []Header // all must be met
	Pool    string

	// Rewrite replaces what stands before the * of the path, if it is stated.
	Rewrite string
}

// Header is met by a request that has a header, with that value if one is stated.
type Header struct {
	Name, Value string
}

// Request is what a table is asked about.
type Request struct {
	Host   string // with or without a port
	Path   string // as it came, percent-encoded
	Method string
	Class  string
	Header func(name string) (value string, there bool)
}

// Faults of a request.
var (
	ErrNone = errors.New("no route meets the request")
	ErrPath = errors.New("the path has dot segments or a malformed escape")
)

// Kind is what is wrong with rules.
type Kind string

// The kinds of problem. A shadowed rule is told and does no harm; the others
// leave no table.
const (
	Malformed   Kind = "malformed"   // a rule is not one
	Tie         Kind = "tie"         // two rules go first for one request
	Unreachable Kind = "unreachable" // no request can meet the rule
	Shadowed    Kind = "shadowed"    // others go first wherever the rule is met
)

// Problem is one thing that is wrong with the rules.
type Problem struct {
	Kind    Kind
	Rules   []int  // indices; the one at fault first
	Field   string // of the first rule
	Text    string
	Example string // a request that shows it
}

// Fatal tells whether a table can't be used because of it.
func (p Problem) Fatal() bool { return p.Kind != Shadowed }

func (p Problem) Error() string {
	if p.Example == "" {
		return p.Text
	}
	return p.Text + ", as for " + p.Example
}

// Vocabulary are the methods and classes that requests can have; none is that any
// may come. It serves to find what is shadowed.
type Vocabulary struct {
	Methods, Classes []string
}

// Table finds the rule of a request.
type Table struct {
	exact map[string]*node
	wild  map[string]*node // by the name below which it is met
	any   *node
	rules []rule
}

type rule struct {
	Rule
	index    int
	segments []segment
	rest     bool
}

// segment is a part of a rule's path: a literal, or any one if it is named.
type segment struct {
	text  string
	named bool
}

// node is a place in the tree of paths.
type node struct {
	literal map[string]*node
	named   *node
	end     *leaf // the path ends here
	rest    *leaf // or goes on anyhow
}

// leaf holds the rules of one host and path.
type leaf struct {
	all   []*rule
	index map[key][]*rule // by method and class, "" is any; most headers first
}

type key struct{ method, class string }

// New makes a table. It is nil if a problem is fatal.
func New(rules []Rule, known Vocabulary) (*Table, []Problem) {
	t := &Table{exact: map[string]*node{}, wild: map[string]*node{}}
	if len(rules) > MaxRules {
		return nil, []Problem{{Kind: Malformed, Text: fmt.Sprintf("%d routes are more than %d", len(rules), MaxRules)}}
	}
	var problems []Problem
	t.rules = make([]rule, len(rules))
	var leaves []*leaf
	for i := range rules {
		r := &t.rules[i]
		r.Rule, r.index = rules[i], i
		if field, fault := r.parse(); fault != "" {
			problems = append(problems, Problem{Kind: Malformed, Rules: []int{i}, Field: field, Text: fmt.Sprintf("route %q: %s", r.Name, fault)})
			continue
		}
		if fault := r.contradicts(); fault != "" {
			problems = append(problems, Problem{Kind: Unreachable, Rules: []int{i}, Field: "headers", Text: fmt.Sprintf("route %q: no request can meet it: %s", r.Name, fault)})
			continue
		}
		l := t.leaf(r)
		if len(l.all) == 0 {
			leaves = append(leaves, l)
		}
		l.all = append(l.all, r)
	}
	for _, l := range leaves {
		problems = append(problems, l.build()...)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return first(a) - first(b) })
	if slices.ContainsFunc(problems, Problem.Fatal) {
		return nil, problems
	}
	for _, l := range leaves {
		problems = append(problems, l.shadowed(known)...)
	}
	return t, problems
}

func first(p Problem) int {
	if len(p.Rules) == 0 {
		return -1
	}
	return p.Rules[0]
}

// parse checks a rule and cuts its path into segments.
func (r *rule) parse() (field, fault string) {
	if r.Host != "" {
		r.Host = strings.ToLower(r.Host)
		name := strings.TrimPrefix(r.Host, "*.")
		if name == "" || strings.ContainsAny(name, "*/: ") || strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") {
			return "host", fmt.Sprintf("unexpected host %q, want a name as in app.svc, or *.svc for all below it", r.Host)
		}
	}
	switch path := r.Path; {
	case path == "":
		r.rest = true
	case path[0] != '/':
		return "path", fmt.Sprintf("unexpected path %q, want one that begins with /", path)
	default:
		parts := strings.Split(path[1:], "/")
		if len(parts) > MaxSegments {
			return "path", fmt.Sprintf("path %q has more than %d segments", path, MaxSegments)
		}
		for i, text := range parts {
			named := len(text) > 2 && text[0] == '{' && text[len(text)-1] == '}'
			switch {
			case text == "*" && i == len(parts)-1:
				r.rest = true
				continue
			case strings.Contains(text, "*"), !named && strings.ContainsAny(text, "{}"):
				return "path", fmt.Sprintf("unexpected segment %q of path %q, want a literal, {name}, or * at the end", text, path)
			}
			decoded, err := url.PathUnescape(text)
			if err != nil || decoded == "." || decoded == ".." {
				return "path", fmt.Sprintf("segment %q of path %q can meet no request: dot segments and malformed escapes are refused", text, path)
			}
			r.segments = append(r.segments, segment{decoded, named})
		}
	}
	for i, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || slices.Contains(r.Methods[:i], m) {
			return "methods", fmt.Sprintf("unexpected method %q, want each once and in capitals", m)
		}
	}
	for i, c := range r.Classes {
		if c == "" || slices.Contains(r.Classes[:i], c) {
			return "classes", fmt.Sprintf("unexpected class %q, want each once", c)
		}
	}
	for _, h := range r.Headers {
		if h.Name == "" || strings.ContainsAny(h.Name, " :\r\n") {
			return "headers", fmt.Sprintf("unexpected name %q of a header", h.Name)
		}
	}
	if r.Pool == "" {
		return "pool", "a pool is missing"
	}
	if r.Rewrite != "" && (!r.rest || r.Rewrite[0] != '/' || strings.ContainsAny(r.Rewrite, "*{}?# ")) {
		return "rewrite", fmt.Sprintf("unexpected rewrite %q, want a plain path, and only for a route whose path ends with *", r.Rewrite)
	}
	r.Rewrite = strings.TrimSuffix(r.Rewrite, "/")
	return "", ""
}

// contradicts tells which conditions can't be met together.
func (r *rule) contradicts() string {
	for i, a := range r.Headers {
		for _, b := range r.Headers[:i] {
			if strings.EqualFold(a.Name, b.Name) && a.Value != b.Value && a.Value != "" && b.Value != "" {
				return fmt.Sprintf("header %s can't be %q and %q", a.Name, b.Value, a.Value)
			}
		}
	}
	return ""
}

// leaf finds or makes the place of a rule.
func (t *Table) leaf(r *rule) *leaf {
	var n *node
	hosts, name := t.exact, r.Host
	if rest, ok := strings.CutPrefix(name, "*."); ok {
		hosts, name = t.wild, rest
	}
	if name == "" {
		if t.any == nil {
			t.any = &node{}
		}
		n = t.any
	} else if n = hosts[name]; n == nil {
		n = &node{}
		hosts[name] = n
	}
	for _, s := range r.segments {
		if s.named {
			if n.named == nil {
				n.named = &node{}
			}
			n = n.named
			continue
		}
		if n.literal == nil {
			n.literal = map[string]*node{}
		}
		next := n.literal[s.text]
		if next == nil {
			next = &node{}
			n.literal[s.text] = next
		}
		n = next
	}
	place := &n.end
	if r.rest {
		place = &n.rest
	}
	if *place == nil {
		*place = &leaf{index: map[key][]*rule{}}
	}
	return *place
}

// anyOf is a list with "" in the place of none.
func anyOf(list []string) []string {
	if len(list) == 0 {
		return []string{""}
	}
	return list
}

// build indexes a leaf's rules and finds those that tie.
func (l *leaf) build() (problems []Problem) {
	told := map[[2]int]bool{}
	for _, r := range l.all {
		for _, m := range anyOf(r.Methods) {
			for _, c := range anyOf(r.Classes) {
				k := key{m, c}
				for _, other := range l.index[k] {
					pair := [2]int{other.index, r.index}
					if len(other.Headers) == len(r.Headers) && compatible(other, r) && !told[pair] {
						told[pair] = true
						problems = append(problems, Problem{Kind: Tie, Rules: []int{r.index, other.index}, Field: "path",
							Text:    fmt.Sprintf("routes %q and %q meet the same requests and neither is more specific", other.Name, r.Name),
							Example: example(m, c, other, r)})
					}
				}
				if len(l.index[k]) >= MaxAlike {
					return append(problems, Problem{Kind: Malformed, Rules: []int{r.index}, Field: "headers",
						Text: fmt.Sprintf("route %q: more than %d routes differ in their headers alone", r.Name, MaxAlike)})
				}
				l.index[k] = append(l.index[k], r)
			}
		}
	}
	for k := range l.index {
		slices.SortStableFunc(l.index[k], func(a, b *rule) int { return len(b.Headers) - len(a.Headers) })
	}
	return problems
}

// compatible tells whether one request can have the headers of both rules.
func compatible(a, b *rule) bool {
	for _, x := range a.Headers {
		for _, y := range b.Headers {
			if strings.EqualFold(x.Name, y.Name) && x.Value != y.Value && x.Value != "" && y.Value != "" {
				return false
			}
		}
	}
	return true
}

// example is a request that meets rules of one leaf.
func example(method, class string, rules ...*rule) string {
	r := rules[0]
	var b strings.Builder
	b.WriteString(method)
	if method == "" {
		b.WriteString("GET")
	}
	b.WriteByte(' ')
	host := r.Host
	if rest, ok := strings.CutPrefix(host, "*."); ok {
		host = "x." + rest
	}
	b.WriteString(host)
	for _, s := range r.segments {
		b.WriteByte('/')
		if s.named {
			b.WriteString("x")
		} else {
			b.WriteString(url.PathEscape(s.text))
		}
	}
	if r.rest {
		b.WriteString("/x")
	}
	if class != "" {
		fmt.Fprintf(&b, " of class %s", class)
	}
	seen := map[string]bool{}
	for _, r := range rules {
		for _, h := range r.Headers {
			if name := strings.ToLower(h.Name); !seen[name] {
				seen[name] = true
				value := h.Value
				if value == "" {
					value = "x"
				}
				fmt.Fprintf(&b, " with %s: %s", h.Name, value)
			}
		}
	}
	return b.String()
}

// shadowed finds the rules that never come first, whatever the method and class.
func (l *leaf) shadowed(known Vocabulary) (problems []Problem) {
	if len(l.all) < 2 {
		return nil
	}
	product := func(stated, all []string) []string {
		if len(stated) > 0 {
			return stated
		}
		return all // none known: anything may come, and nothing can be shadowed
	}
	for _, r := range l.all {
		methods, classes := product(r.Methods, known.Methods), product(r.Classes, known.Classes)
		by, open := map[int]bool{}, len(methods) == 0 || len(classes) == 0
		for _, m := range methods {
			for _, c := range classes {
				if open {
					break
				}
				a := l.before(r, m, c)
				if a == nil {
					open = true
				} else {
					by[a.index] = true
				}
			}
		}
		if open {
			continue
		}
		p := Problem{Kind: Shadowed, Rules: []int{r.index}, Field: "path"}
		var names []string
		for _, other := range l.all {
			if by[other.index] {
				p.Rules = append(p.Rules, other.index)
				names = append(names, fmt.Sprintf("%q", other.Name))
			}
		}
		p.Text = fmt.Sprintf("route %q never comes first: %s meet all that it meets", r.Name, strings.Join(names, ", "))
		problems = append(problems, p)
	}
	return problems
}

// before is a rule that goes before r for each of r's requests of a method and class.
func (l *leaf) before(r *rule, method, class string) *rule {
	for _, k := range order(method, class) {
		for _, a := range l.index[k] {
			if a == r {
				return nil
			}
			if subset(a.Headers, r.Headers) {
				return a
			}
		}
	}
	return nil
}

// subset tells whether whoever meets b meets a.
func subset(a, b []Header) bool {
	return !slices.ContainsFunc(a, func(x Header) bool {
		return !slices.ContainsFunc(b, func(y Header) bool {
			return strings.EqualFold(x.Name, y.Name) && (x.Value == "" || x.Value == y.Value)
		})
	})
}

// order is where the rules of a method and class lie, the first ones first.
func order(method, class string) [4]key {
	return [4]key{{method, class}, {method, ""}, {"", class}, {"", ""}}
}

// Find returns the index of the rule that goes first. Its time grows with the
// length of the host and path and with how many patterns share their segments,
// not with the number of rules.
func (t *Table) Find(r *Request) (int, error) {
	path := r.Path
	if path == "" || path[0] != '/' {
		return 0, ErrPath
	}
	if !sound(path) {
		return 0, ErrPath
	}
	host := hostname(r.Host)
	if n := t.exact[host]; n != nil {
		if found := n.find(path[1:], 0, r); found != nil {
			return found.index, nil
		}
	}
	for name := host; len(t.wild) > 0; {
		_, rest, ok := strings.Cut(name, ".")
		if !ok {
			break
		}
		if n := t.wild[rest]; n != nil {
			if found := n.find(path[1:], 0, r); found != nil {
				return found.index, nil
			}
		}
		name = rest
	}
	if t.any != nil {
		if found := t.any.find(path[1:], 0, r); found != nil {
			return found.index, nil
		}
	}
	return 0, ErrNone
}

// hostname is a host in small letters, without its port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// sound tells whether a path can be judged segment by segment: another reader
// would resolve dot segments, and so see another path.
func sound(path string) bool {
	for rest := path[1:]; ; {
		part, next, more := strings.Cut(rest, "/")
		if len(part) <= 6 && strings.ContainsAny(part, ".%") || strings.Contains(part, "%") {
			decoded, err := url.PathUnescape(part)
			if err != nil || decoded == "." || decoded == ".." {
				return false
			}
		}
		if !more {
			return true
		}
		rest = next
	}
}

// find looks below a node for the rest of a path: literals first, then any
// segment, then the rule for all that is below, which is the order of rules.
func (n *node) find(rest string, depth int, r *Request) *rule {
	if depth < MaxSegments && (n.literal != nil || n.named != nil) {
		part, next, more := strings.Cut(rest, "/")
		text := part
		if strings.Contains(part, "%") {
			text, _ = url.PathUnescape(part) // sound has seen it
		}
		if child := n.literal[text]; child != nil {
			if found := child.after(next, more, depth, r); found != nil {
				return found
			}
		}
		if n.named != nil {
			if found := n.named.after(next, more, depth, r); found != nil {
				return found
			}
		}
	}
	return n.rest.find(r)
}

// after looks on behind a segment that was met.
func (n *node) after(next string, more bool, depth int, r *Request) *rule {
	if more {
		return n.find(next, depth+1, r)
	}
	if found := n.end.find(r); found != nil {
		return found
	}
	return n.rest.find(r)
}

// find returns the first of a leaf's rules that a request meets.
func (l *leaf) find(r *Request) *rule {
	if l == nil {
		return nil
	}
	for _, k := range order(r.Method, r.Class) {
		for _, candidate := range l.index[k] {
			if candidate.headers(r) {
				return candidate
			}
		}
	}
	return nil
}

func (r *rule) headers(q *Request) bool {
	for _, h := range r.Headers {
		if q.Header == nil {
			return false
		}
		if v, there := q.Header(h.Name); !there || h.Value != "" && v != h.Value {
			return false
		}
	}
	return true
}

// Target returns the path and query that go on by a rule: as they came, or with
// what stands before the rule's * replaced.
func (t *Table) Target(index int, target string) string {
	r := &t.rules[index]
	if r.Rewrite == "" {
		return target
	}
	path, query, asked := strings.Cut(target, "?")
	rest := path
	for range r.segments {
		if i := strings.IndexByte(rest[1:], '/'); i >= 0 {
			rest = rest[1+i:]
		} else {
			rest = ""
			break
		}
	}
	out := r.Rewrite + rest
	if out == "" {
		out = "/"
	}
	if asked {
		out += "?" + query
	}
	return out
}

// Rule returns a rule by its index.
func (t *Table) Rule(index int) *Rule { return &t.rules[index].Rule }

// Len is the number of rules.
func (t *Table) Len() int { return len(t.rules) }
