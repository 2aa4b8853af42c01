package route

import (
	"net/url"
	"strings"
)

// maxDotSegment is the length of the longest dot segment, with both dots escaped.
const maxDotSegment = len("%2e%2e")

// Find returns the index of the rule that takes precedence, or ErrPath or ErrNone. Its time grows with the length of
// the host and path and with how many patterns share their segments, not with the number of rules.
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

// find searches the exact host's rules, then those of wildcards, longest first, then those of any host.
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

// normalizeHost is a host in small letters, without its port and final dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// isPlain reports whether a path can be matched segment by segment: an endpoint would resolve dot segments, and so
// execute another path.
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

// find searches a node's children for the remainder of a path in order of precedence: literals, then any segment, then
// the rules for all paths below the node.
func (n *node) find(path string, depth int, request *Request) *rule {
	if n == nil {
		return nil
	}
	if depth < MaxSegments && (n.literals != nil || n.named != nil) {
		part, next, more := strings.Cut(path, "/")
		text := part
		if strings.Contains(part, "%") {
			text, _ = url.PathUnescape(part) // isPlain has checked it
		}
		for _, child := range [2]*node{n.literals[text], n.named} {
			if found := child.findBehind(next, more, depth, request); found != nil {
				return found
			}
		}
	}
	return n.rest.find(request)
}

// findBehind continues after a segment that matched; more is whether other segments follow it.
func (n *node) findBehind(next string, more bool, depth int, request *Request) *rule {
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

// Target returns the path and query that are sent on by a rule: unchanged, or with the part before the rule's *
// replaced.
func (t *Table) Target(index int, target string) string {
	r := &t.rules[index]
	if r.Rewrite == "" {
		return target
	}
	path, query, hasQuery := strings.Cut(target, "?")
	rewritten := r.Rewrite + pathBehind(path, len(r.segments))
	if rewritten == "" {
		rewritten = "/"
	}
	if hasQuery {
		rewritten += "?" + query
	}
	return rewritten
}

// pathBehind is what follows so many segments of a path, with its leading slash.
func pathBehind(path string, segments int) string {
	for range segments {
		i := strings.IndexByte(path[1:], '/')
		if i < 0 {
			return ""
		}
		path = path[1+i:]
	}
	return path
}
