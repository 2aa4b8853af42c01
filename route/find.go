package route

import (
	"net/url"
	"strings"
)

// maxDotSegment is the length of the longest encoding of a dot segment.
const maxDotSegment = len("%2e%2e")

// Find returns the index of the matching rule that takes precedence, or ErrPath or ErrNone. Its running time depends on
// the length of the host and path and on how many patterns share their segments, not on the number of rules.
func (t *Table) Find(request *Request) (int, error) {
	path := request.Path
	if path == "" || path[0] != '/' || !isPlain(path) {
		return 0, ErrPath
	}
	found := t.find(normalizeHost(request.Host), path[1:], request)
	if found == nil {
		return 0, ErrNone
	}
	return found.index, nil
}

// find searches the rules of the exact host, then those of wildcards, longest first, then those for any host.
func (t *Table) find(host, path string, request *Request) *rule {
	if found := t.exactHosts[host].find(path, 0, request); found != nil {
		return found
	}
	if len(t.wildcardHosts) > 0 {
		for _, below, more := strings.Cut(host, "."); more; _, below, more = strings.Cut(below, ".") {
			if found := t.wildcardHosts[below].find(path, 0, request); found != nil {
				return found
			}
		}
	}
	return t.anyHost.find(path, 0, request)
}

// normalizeHost returns a host in lower case, without its port and final dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// isPlain reports whether a path can be matched segment by segment. A path with dot segments can't: an endpoint would
// resolve them and serve another path.
func isPlain(path string) bool {
	for part := range strings.SplitSeq(path[1:], "/") {
		mayBeDots := len(part) <= maxDotSegment && strings.Contains(part, ".")
		if !mayBeDots && !strings.Contains(part, "%") {
			continue
		}
		decoded, err := url.PathUnescape(part)
		if err != nil || isDotSegment(decoded) {
			return false
		}
	}
	return true
}

// find returns the first matching rule for the remainder of a path, or nil. It searches in order of precedence: literal
// segments, then {name}, then the rules for all paths below the node.
func (n *node) find(path string, depth int, request *Request) *rule {
	if n == nil {
		return nil
	}
	if depth < MaxSegments && (n.literals != nil || n.named != nil) {
		part, next, more := strings.Cut(path, "/")
		text := part
		if strings.Contains(part, "%") {
			text, _ = url.PathUnescape(part) // isPlain has checked the escapes
		}
		for _, child := range [2]*node{n.literals[text], n.named} {
			if found := child.findNext(next, more, depth, request); found != nil {
				return found
			}
		}
	}
	return n.rest.find(request)
}

// findNext continues the search after a matching segment; more states whether segments follow it.
func (n *node) findNext(next string, more bool, depth int, request *Request) *rule {
	if n == nil {
		return nil
	}
	if more {
		return n.find(next, depth+1, request)
	}
	if found := n.end.find(request); found != nil {
		return found
	}
	return n.rest.find(request)
}

// Target returns the path and query to send to the endpoint under a rule: unchanged, or, if the rule states a rewrite,
// with the part before the rule's * replaced.
func (t *Table) Target(index int, target string) string {
	r := &t.rules[index]
	if r.Rewrite == "" {
		return target
	}
	path, query, hasQuery := strings.Cut(target, "?")
	rewritten := r.Rewrite + pathAfter(path, len(r.segments))
	if rewritten == "" {
		rewritten = "/"
	}
	if hasQuery {
		rewritten += "?" + query
	}
	return rewritten
}

// pathAfter returns the part of a path after the given number of segments, with its leading slash.
func pathAfter(path string, segments int) string {
	for range segments {
		i := strings.IndexByte(path[1:], '/')
		if i < 0 {
			return ""
		}
		path = path[1+i:]
	}
	return path
}
