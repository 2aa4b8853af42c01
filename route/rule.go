package route

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// wildcardPrefix marks a host that matches all names below the rest of it.
const wildcardPrefix = "*."

// rule is a parsed Rule.
type rule struct {
	Rule
	index    int
	segments []segment
	hasRest  bool // the path ends with * or is not stated
}

// segment is a segment of a rule's path: a literal, or {name}, which matches any segment.
type segment struct {
	text  string
	named bool
}

// fault describes an invalid field of a rule.
type fault struct{ field, text string }

// check parses a rule. It returns the problem that makes the rule invalid or unreachable, or nil.
func (r *rule) check() *Problem {
	if f := r.parse(); f != nil {
		text := fmt.Sprintf("route %q: %s", r.Name, f.text)
		return &Problem{Kind: Malformed, Rules: []int{r.index}, Field: f.field, Text: text}
	}
	if contradiction := r.contradiction(); contradiction != "" {
		text := fmt.Sprintf("route %q: no request can match it: %s", r.Name, contradiction)
		return &Problem{Kind: Unreachable, Rules: []int{r.index}, Field: "headers", Text: text}
	}
	return nil
}

// parse validates the fields in order and splits the path into segments. It returns the first fault, or nil.
func (r *rule) parse() *fault {
	for _, parseField := range []func() *fault{
		r.parseHost, r.parsePath, r.checkMethods, r.checkClasses, r.checkHeaders, r.checkPool, r.parseRewrite,
	} {
		if f := parseField(); f != nil {
			return f
		}
	}
	return nil
}

func (r *rule) parseHost() *fault {
	if r.Host == "" {
		return nil
	}
	r.Host = strings.ToLower(r.Host)
	name := strings.TrimPrefix(r.Host, wildcardPrefix)
	malformed := name == "" || strings.ContainsAny(name, "*/: ") ||
		strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".")
	if malformed {
		return &fault{"host", fmt.Sprintf(
			"unexpected host %q, want a name like app.svc, or *.svc for all names below svc", r.Host)}
	}
	return nil
}

func (r *rule) parsePath() *fault {
	path := r.Path
	if path == "" {
		r.hasRest = true
		return nil
	}
	if path[0] != '/' {
		return &fault{"path", fmt.Sprintf("unexpected path %q, want one that begins with /", path)}
	}
	parts := strings.Split(path[1:], "/")
	if len(parts) > MaxSegments {
		return &fault{"path", fmt.Sprintf("path %q has more than %d segments", path, MaxSegments)}
	}
	for i, text := range parts {
		if text == "*" && i == len(parts)-1 {
			r.hasRest = true
			break
		}
		s, f := parseSegment(text, path)
		if f != nil {
			return f
		}
		r.segments = append(r.segments, s)
	}
	return nil
}

func parseSegment(text, path string) (segment, *fault) {
	named := len(text) > 2 && text[0] == '{' && text[len(text)-1] == '}'
	if strings.Contains(text, "*") || !named && strings.ContainsAny(text, "{}") {
		return segment{}, &fault{"path", fmt.Sprintf(
			"unexpected segment %q of path %q, want a literal, {name}, or * at the end", text, path)}
	}
	decoded, err := url.PathUnescape(text)
	if err != nil || isDotSegment(decoded) {
		return segment{}, &fault{"path", fmt.Sprintf(
			"segment %q of path %q can match no request: dot segments and malformed escapes are rejected", text, path)}
	}
	return segment{decoded, named}, nil
}

// isDotSegment reports whether a decoded segment is one that an endpoint may resolve.
func isDotSegment(text string) bool { return text == "." || text == ".." }

func (r *rule) checkMethods() *fault {
	for i, method := range r.Methods {
		if method == "" || strings.ToUpper(method) != method || slices.Contains(r.Methods[:i], method) {
			return &fault{"methods", fmt.Sprintf("unexpected method %q, want each method once and in capitals", method)}
		}
	}
	return nil
}

func (r *rule) checkClasses() *fault {
	for i, class := range r.Classes {
		if class == "" || slices.Contains(r.Classes[:i], class) {
			return &fault{"classes", fmt.Sprintf("unexpected class %q, want each class once", class)}
		}
	}
	return nil
}

func (r *rule) checkHeaders() *fault {
	for _, header := range r.Headers {
		if header.Name == "" || strings.ContainsAny(header.Name, " :\r\n") {
			return &fault{"headers", fmt.Sprintf("unexpected header name %q", header.Name)}
		}
	}
	return nil
}

func (r *rule) checkPool() *fault {
	if r.Pool == "" {
		return &fault{"pool", "the pool is missing"}
	}
	return nil
}

func (r *rule) parseRewrite() *fault {
	malformed := r.Rewrite != "" &&
		(!r.hasRest || r.Rewrite[0] != '/' || strings.ContainsAny(r.Rewrite, "*{}?# "))
	if malformed {
		return &fault{"rewrite", fmt.Sprintf(
			"unexpected rewrite %q, want a plain path, and only for a route whose path ends with *", r.Rewrite)}
	}
	r.Rewrite = strings.TrimSuffix(r.Rewrite, "/")
	return nil
}

// contradiction describes two headers of the rule that no request can match together; it is empty if there are none.
func (r *rule) contradiction() string {
	for i, a := range r.Headers {
		for _, b := range r.Headers[:i] {
			if a.excludes(b) {
				return fmt.Sprintf("header %s can't be %q and %q", a.Name, b.Value, a.Value)
			}
		}
	}
	return ""
}

// excludes reports whether no request can match both h and other.
func (h Header) excludes(other Header) bool {
	return strings.EqualFold(h.Name, other.Name) && h.Value != other.Value && h.Value != "" && other.Value != ""
}

// implies reports whether every request that matches h matches other.
func (h Header) implies(other Header) bool {
	return strings.EqualFold(h.Name, other.Name) && (other.Value == "" || other.Value == h.Value)
}

// compatible reports whether a request can match the headers of both rules.
func (r *rule) compatible(other *rule) bool {
	for _, a := range r.Headers {
		for _, b := range other.Headers {
			if a.excludes(b) {
				return false
			}
		}
	}
	return true
}

// headersImply reports whether every request that matches the headers of r matches those of other.
func (r *rule) headersImply(other *rule) bool {
	return !slices.ContainsFunc(other.Headers, func(wanted Header) bool {
		return !slices.ContainsFunc(r.Headers, func(stated Header) bool { return stated.implies(wanted) })
	})
}

// headersMatch reports whether a request matches all headers of the rule.
func (r *rule) headersMatch(request *Request) bool {
	for _, header := range r.Headers {
		if request.Header == nil {
			return false
		}
		value, found := request.Header(header.Name)
		if !found || header.Value != "" && value != header.Value {
			return false
		}
	}
	return true
}
