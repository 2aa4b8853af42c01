package route

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// leaf holds the rules with the same host and path.
type leaf struct {
	rules []*rule
	index map[leafKey][]*rule // by method and class; rules with more headers first
}

// leafKey is a method and class stated by a rule; an empty string stands for any.
type leafKey struct{ method, class string }

// precedence returns the keys of the rules for a method and class, highest precedence first.
func precedence(method, class string) [4]leafKey {
	return [4]leafKey{{method, class}, {method, ""}, {"", class}, {"", ""}}
}

// statedOrAny returns list, or a list with only "" if list is empty.
func statedOrAny(list []string) []string {
	if len(list) == 0 {
		return []string{""}
	}
	return list
}

// keys returns all keys under which a rule is indexed.
func (r *rule) keys() (keys []leafKey) {
	for _, method := range statedOrAny(r.Methods) {
		for _, class := range statedOrAny(r.Classes) {
			keys = append(keys, leafKey{method, class})
		}
	}
	return keys
}

// buildIndex indexes the rules of a leaf and returns the ties among them.
func (l *leaf) buildIndex() (problems []Problem) {
	reported := map[[2]int]bool{} // pairs of tied rules already reported
	for _, r := range l.rules {
		for _, key := range r.keys() {
			for _, other := range l.index[key] {
				pair := [2]int{other.index, r.index}
				if len(other.Headers) != len(r.Headers) || !other.compatible(r) || reported[pair] {
					continue
				}
				reported[pair] = true
				problems = append(problems, tie(other, r, key))
			}
			if len(l.index[key]) >= MaxHeaderVariants {
				text := fmt.Sprintf("route %q: more than %d routes differ only in headers", r.Name, MaxHeaderVariants)
				tooMany := Problem{Kind: Malformed, Rules: []int{r.index}, Field: "headers", Text: text}
				return append(problems, tooMany)
			}
			l.index[key] = append(l.index[key], r)
		}
	}
	for key := range l.index {
		slices.SortStableFunc(l.index[key], func(a, b *rule) int { return len(b.Headers) - len(a.Headers) })
	}
	return problems
}

// tie returns the problem of two rules with equal precedence.
func tie(earlier, later *rule, key leafKey) Problem {
	return Problem{
		Kind:  Tie,
		Rules: []int{later.index, earlier.index},
		Field: "path",
		Text: fmt.Sprintf("routes %q and %q meet the same requests and neither is more specific",
			earlier.Name, later.Name),
		Example: example(key, earlier, later),
	}
}

// example returns a description of a request that matches both rules of one leaf.
func example(key leafKey, a, b *rule) string {
	var text strings.Builder
	method := key.method
	if method == "" {
		method = "GET"
	}
	text.WriteString(method + " " + examplePath(a))
	if key.class != "" {
		fmt.Fprintf(&text, " of class %s", key.class)
	}
	seen := map[string]bool{}
	for _, header := range slices.Concat(a.Headers, b.Headers) {
		name := strings.ToLower(header.Name)
		if seen[name] {
			continue
		}
		seen[name] = true
		value := header.Value
		if value == "" {
			value = "x"
		}
		fmt.Fprintf(&text, " with %s: %s", header.Name, value)
	}
	return text.String()
}

// examplePath returns a host and path that match a rule.
func examplePath(r *rule) string {
	var text strings.Builder
	if below, isWildcard := strings.CutPrefix(r.Host, wildcardPrefix); isWildcard {
		text.WriteString("x." + below)
	} else {
		text.WriteString(r.Host)
	}
	for _, s := range r.segments {
		if s.named {
			text.WriteString("/x")
		} else {
			text.WriteString("/" + url.PathEscape(s.text))
		}
	}
	if r.hasRest {
		text.WriteString("/x")
	}
	return text.String()
}

// findShadowed returns a problem for each rule that never takes precedence, for any method and class in the vocabulary.
func (l *leaf) findShadowed(vocabulary Vocabulary) (problems []Problem) {
	if len(l.rules) < 2 {
		return nil
	}
	for _, r := range l.rules {
		shadowing := l.shadowing(r, vocabulary)
		if len(shadowing) == 0 {
			continue
		}
		problem := Problem{Kind: Shadowed, Rules: []int{r.index}, Field: "path"}
		var names []string
		for _, other := range l.rules {
			if shadowing[other.index] {
				problem.Rules = append(problem.Rules, other.index)
				names = append(names, fmt.Sprintf("%q", other.Name))
			}
		}
		problem.Text = fmt.Sprintf("route %q never comes first: %s meet all that it meets",
			r.Name, strings.Join(names, ", "))
		problems = append(problems, problem)
	}
	return problems
}

// shadowing returns the indices of the rules that together take precedence over r for all its requests. It returns none
// if r takes precedence for any request. If neither the rule nor the vocabulary states the possible methods or classes,
// the rule is not shadowed.
func (l *leaf) shadowing(r *rule, vocabulary Vocabulary) map[int]bool {
	methods := r.Methods
	if len(methods) == 0 {
		methods = vocabulary.Methods
	}
	classes := r.Classes
	if len(classes) == 0 {
		classes = vocabulary.Classes
	}
	shadowing := map[int]bool{}
	for _, method := range methods {
		for _, class := range classes {
			other := l.takesPrecedence(r, method, class)
			if other == nil {
				return nil
			}
			shadowing[other.index] = true
		}
	}
	return shadowing
}

// takesPrecedence returns a rule that takes precedence over r for all of r's requests with a method and class, or nil.
func (l *leaf) takesPrecedence(r *rule, method, class string) *rule {
	for _, key := range precedence(method, class) {
		for _, other := range l.index[key] {
			if other == r {
				return nil
			}
			if r.headersImply(other) {
				return other
			}
		}
	}
	return nil
}

// find returns the rule of the leaf that matches a request and takes precedence, or nil.
func (l *leaf) find(request *Request) *rule {
	if l == nil {
		return nil
	}
	for _, key := range precedence(request.Method, request.Class) {
		for _, candidate := range l.index[key] {
			if candidate.headersMatch(request) {
				return candidate
			}
		}
	}
	return nil
}
