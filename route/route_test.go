package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func header(pairs ...string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		for i := 0; i < len(pairs); i += 2 {
			if strings.EqualFold(pairs[i], name) {
				return pairs[i+1], true
			}
		}
		return "", false
	}
}

func TestFindPrefersMostSpecificRule(t *testing.T) {
	rules := []Rule{
		{Name: "all", Pool: "p"},
		{Name: "svc", Host: "*.svc", Pool: "p"},
		{Name: "deep", Host: "*.app.svc", Pool: "p"},
		{Name: "app", Host: "App.svc", Path: "/*", Pool: "p"},
		{Name: "shops", Host: "app.svc", Path: "/shops/*", Pool: "p", Rewrite: "/v2/s/"},
		{Name: "shop", Host: "app.svc", Path: "/shops/{id}", Pool: "p"},
		{Name: "north", Host: "app.svc", Path: "/shops/north", Pool: "p"},
		{Name: "rosters", Host: "app.svc", Path: "/shops/{id}/rosters/*", Pool: "p"},
		{Name: "north-any", Host: "app.svc", Path: "/shops/north/*", Pool: "p"},
		{Name: "post", Host: "app.svc", Path: "/shops/{id}", Methods: []string{"POST", "PUT"}, Pool: "p"},
		{Name: "swap", Host: "app.svc", Path: "/shops/{id}", Classes: []string{"swap"}, Pool: "p"},
		{Name: "beta", Host: "app.svc", Path: "/shops/{id}", Headers: []Header{{"X-Beta", ""}}, Pool: "p"},
		{Name: "beta-2", Host: "app.svc", Path: "/shops/{id}", Headers: []Header{{"X-Beta", "2"}, {"X-Who", ""}}, Pool: "p"},
		{Name: "coded", Host: "app.svc", Path: "/a%2Fb/c d", Pool: "p"},
	}
	table, problems := New(rules, Vocabulary{})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	for _, tc := range []struct {
		r    Request
		want string
	}{
		{Request{Host: "other", Path: "/"}, "all"},
		{Request{Host: "svc", Path: "/"}, "all"},
		{Request{Host: "x.svc", Path: "/"}, "svc"},
		{Request{Host: "x.app.svc:80", Path: "/"}, "deep"},
		{Request{Host: "APP.svc.", Path: "/"}, "app"},
		{Request{Host: "app.svc", Path: "/shops"}, "shops"},
		{Request{Host: "app.svc", Path: "/shops/"}, "shop"},
		{Request{Host: "app.svc", Path: "/shops/7"}, "shop"},
		{Request{Host: "app.svc", Path: "/shops/north"}, "north"},
		{Request{Host: "app.svc", Path: "/shops/7/x"}, "shops"},
		{Request{Host: "app.svc", Path: "/shops/7/rosters"}, "rosters"},
		{Request{Host: "app.svc", Path: "/shops/north/rosters/3"}, "north-any"},
		{Request{Host: "app.svc", Path: "/shops/7", Method: "POST"}, "post"},
		{Request{Host: "app.svc", Path: "/shops/7", Method: "POST", Class: "swap"}, "post"},
		{Request{Host: "app.svc", Path: "/shops/7", Method: "GET", Class: "swap"}, "swap"},
		{Request{Host: "app.svc", Path: "/shops/7", Header: header("x-beta", "1")}, "beta"},
		{Request{Host: "app.svc", Path: "/shops/7", Header: header("x-beta", "2")}, "beta"},
		{Request{Host: "app.svc", Path: "/shops/7", Header: header("x-beta", "2", "X-Who", "me")}, "beta-2"},
		{Request{Host: "app.svc", Path: "/a%2fb/c%20d"}, "coded"},
		{Request{Host: "app.svc", Path: "/a/b/c%20d"}, "app"},
	} {
		i, err := table.Find(&tc.r)
		if err != nil || table.rules[i].Name != tc.want {
			t.Errorf("request %+v: got rule %v, error %v; want rule %s", tc.r, table.rules[i].Name, err, tc.want)
		}
	}
	for target, want := range map[string]string{"/shops/7/x?a=/shops": "/v2/s/7/x?a=/shops", "/shops": "/v2/s", "/shops?q": "/v2/s?q"} {
		i, _ := table.Find(&Request{Host: "app.svc", Path: strings.Split(target, "?")[0]})
		if table.rules[i].Name == "shops" {
			if got := table.Target(i, target); got != want {
				t.Errorf("target %s: got %s, want %s", target, got, want)
			}
		}
	}
}

// A path that an endpoint may resolve to a different path is rejected.
func TestFindRejectsAmbiguousPaths(t *testing.T) {
	table, _ := New([]Rule{{Name: "all", Pool: "p"}}, Vocabulary{})
	for _, path := range []string{"", "x", "/..", "/a/../b", "/a/./b", "/a/%2e%2E/b", "/%2e", "/a%zz", "/.%2e/x"} {
		if _, err := table.Find(&Request{Path: path}); !errors.Is(err, ErrPath) {
			t.Errorf("path %q: unexpected error %v", path, err)
		}
	}
	for _, path := range []string{"/", "/a..b", "/...", "/a//b", "/%41"} {
		if _, err := table.Find(&Request{Path: path}); err != nil {
			t.Errorf("path %q: unexpected error %v", path, err)
		}
	}
}

func TestNewReportsProblems(t *testing.T) {
	known := Vocabulary{Methods: []string{"GET", "POST"}, Classes: []string{"view", "swap"}}
	for _, tc := range []struct {
		name  string
		rules []Rule
		kind  Kind
		text  string
	}{
		{"same", []Rule{{Name: "a", Path: "/x/{id}"}, {Name: "b", Path: "/x/{other}"}}, Tie, `routes "a" and "b" meet the same requests and neither is more specific, as for GET /x/x`},
		{"methods overlap", []Rule{{Name: "a", Methods: []string{"GET", "PUT"}}, {Name: "b", Methods: []string{"PUT"}}}, Tie, "as for PUT /x"},
		{"classes overlap", []Rule{{Name: "a", Classes: []string{"view"}}, {Name: "b", Classes: []string{"swap", "view"}}}, Tie, "of class view"},
		{"compatible headers", []Rule{{Name: "a", Headers: []Header{{"X", "1"}}}, {Name: "b", Headers: []Header{{"Y", ""}}}}, Tie, "with X: 1 with Y: x"},
		{"exclusive headers", []Rule{{Name: "a", Headers: []Header{{"X", "1"}}}, {Name: "b", Headers: []Header{{"x", "2"}}}}, "", ""},
		{"different hosts", []Rule{{Name: "a", Host: "x.svc"}, {Name: "b", Host: "*.svc"}}, "", ""},
		{"contradiction", []Rule{{Name: "a", Headers: []Header{{"X", "1"}, {"x", "2"}}}}, Unreachable, "can't be"},
		{"dots", []Rule{{Name: "a", Path: "/a/%2e%2e"}}, Malformed, "can match no request"},
		{"star inside", []Rule{{Name: "a", Path: "/a/*/b"}}, Malformed, `unexpected segment "*"`},
		{"no slash", []Rule{{Name: "a", Path: "a"}}, Malformed, "begins with /"},
		{"bad host", []Rule{{Name: "a", Host: "a.*.svc"}}, Malformed, "unexpected host"},
		{"rewrite without a rest", []Rule{{Name: "a", Path: "/a", Rewrite: "/b"}}, Malformed, "ends with *"},
		{"lower case", []Rule{{Name: "a", Methods: []string{"get"}}}, Malformed, "in capitals"},
		{"shadowed by all methods", []Rule{{Name: "rest"}, {Name: "g", Methods: []string{"GET"}}, {Name: "p", Methods: []string{"POST"}}}, Shadowed, `route "rest" never comes first: "g", "p" meet all that it meets`},
		{"shadowed by classes", []Rule{{Name: "g", Methods: []string{"GET"}}, {Name: "v", Methods: []string{"GET"}, Classes: []string{"view", "swap"}}}, Shadowed, `route "g" never comes first`},
		{"not shadowed by a rule with a header", []Rule{{Name: "rest"}, {Name: "g", Methods: []string{"GET"}}, {Name: "p", Methods: []string{"POST"}, Headers: []Header{{"X", ""}}}}, "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for i := range tc.rules {
				tc.rules[i].Pool = "p"
			}
			table, problems := New(tc.rules, known)
			if tc.kind == "" {
				if len(problems) > 0 || table == nil {
					t.Fatal(problems)
				}
				return
			}
			if len(problems) != 1 || problems[0].Kind != tc.kind || !strings.Contains(problems[0].Error(), tc.text) {
				t.Fatalf("got problems %v, want one of kind %s with text %q", problems, tc.kind, tc.text)
			}
			if problems[0].Fatal() != (table == nil) {
				t.Error("got a table with a fatal problem or none without, want a table exactly if no problem is fatal")
			}
		})
	}
}

// --- The naive matcher: checks every rule, as the package documentation describes.

func (r *rule) matches(q *Request) bool {
	host := normalizeHost(q.Host)
	if rest, ok := strings.CutPrefix(r.Host, "*."); ok {
		if !strings.HasSuffix(host, "."+rest) {
			return false
		}
	} else if r.Host != "" && r.Host != host {
		return false
	}
	parts := strings.Split(q.Path[1:], "/")
	for i, s := range r.segments {
		if i >= len(parts) || !s.named && s.text != parts[i] {
			return false
		}
	}
	if !r.hasRest && len(parts) != len(r.segments) {
		return false
	}
	in := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	return in(r.Methods, q.Method) && in(r.Classes, q.Class) && r.headersMatch(q)
}

// takesPrecedenceOver compares two rules that match one request.
func (r *rule) takesPrecedenceOver(o *rule) bool {
	rank := func(host string) int {
		switch {
		case host == "":
			return 0
		case strings.HasPrefix(host, "*."):
			return 1 + strings.Count(host, ".")
		}
		return 1000
	}
	if a, b := rank(r.Host), rank(o.Host); a != b {
		return a > b
	}
	kind := func(r *rule, i int) int {
		switch {
		case i == len(r.segments) && r.hasRest:
			return 0
		case i == len(r.segments):
			return 3
		case r.segments[i].named:
			return 1
		}
		return 2
	}
	for i := 0; ; i++ {
		a, b := kind(r, i), kind(o, i)
		if a != b {
			return a > b
		}
		if a == 0 || a == 3 {
			break
		}
	}
	if a, b := len(r.Methods) > 0, len(o.Methods) > 0; a != b {
		return a
	}
	if a, b := len(r.Classes) > 0, len(o.Classes) > 0; a != b {
		return a
	}
	return len(r.Headers) > len(o.Headers)
}

func naiveFind(t *Table, q *Request) (int, bool) {
	var best *rule
	for i := range t.rules {
		if r := &t.rules[i]; r.matches(q) && (best == nil || r.takesPrecedenceOver(best)) {
			best = r
		}
	}
	if best == nil {
		return 0, false
	}
	return best.index, true
}

func compare(t interface {
	Fatalf(string, ...any)
}, table *Table, q *Request) {
	got, err := table.Find(q)
	want, ok := naiveFind(table, q)
	if ok != (err == nil) || ok && got != want {
		t.Fatalf("request %+v: got rule %d (error %v), naive matcher got rule %d (found %v)", q, got, err, want, ok)
	}
}

// randomInput returns random rules and requests from a small vocabulary, so that many of them match.
func randomInput(pick func(n int) int) ([]Rule, []Request) {
	words := []string{"a", "b", "c"}
	word := func() string { return words[pick(len(words))] }
	some := func(list ...string) []string {
		switch pick(4) {
		case 0:
			return list[:1]
		case 1:
			return list[1:2]
		}
		return nil
	}
	var rules []Rule
	for n := range 1 + pick(30) {
		r := Rule{Name: fmt.Sprint(n), Pool: "p", Methods: some("GET", "POST"), Classes: some("view", "swap")}
		r.Host = []string{"", "a.svc", "b.a.svc", "*.svc", "*.a.svc"}[pick(5)]
		for range pick(4) {
			r.Path += "/" + []string{word(), "{" + word() + "}"}[pick(2)]
		}
		if pick(2) == 0 {
			r.Path += "/*"
		}
		for range pick(3) {
			r.Headers = append(r.Headers, Header{"X-" + word(), []string{"", word()}[pick(2)]})
		}
		rules = append(rules, r)
	}
	var requests []Request
	for range 40 {
		q := Request{Host: []string{"a.svc", "b.a.svc", "c.b.a.svc", "svc", "z"}[pick(5)], Method: []string{"GET", "POST", "PUT"}[pick(3)],
			Class: []string{"view", "swap", ""}[pick(3)], Path: "/"}
		for i := range pick(5) {
			if i > 0 {
				q.Path += "/"
			}
			q.Path += word()
		}
		q.Header = header("X-a", word(), "X-b", word())
		requests = append(requests, q)
	}
	return rules, requests
}

func checkAgreement(t interface {
	Fatalf(string, ...any)
}, rules []Rule, requests []Request) {
	for { // remove the rules at fault until the table can be built
		table, problems := New(rules, Vocabulary{})
		if table != nil {
			for i := range requests {
				compare(t, table, &requests[i])
			}
			return
		}
		out := map[int]bool{}
		for _, p := range problems {
			if p.Fatal() {
				out[p.Rules[0]] = true
			}
		}
		var kept []Rule
		for i, r := range rules {
			if !out[i] {
				kept = append(kept, r)
			}
		}
		rules = kept
	}
}

func TestFindAgreesWithNaiveMatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules, requests := randomInput(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		checkAgreement(t, rules, requests)
	})
}

func FuzzFind(f *testing.F) {
	f.Add(uint64(1), uint64(2))
	f.Fuzz(func(t *testing.T, a, b uint64) {
		rng := rand.New(rand.NewPCG(a, b))
		rules, requests := randomInput(rng.IntN)
		checkAgreement(t, rules, requests)
	})
}

// A rule reported as shadowed never takes precedence for any request.
func TestShadowedRuleNeverTakesPrecedence(t *testing.T) {
	known := Vocabulary{Methods: []string{"GET", "POST", "PUT"}, Classes: []string{"view", "swap", ""}}
	rng, found := rand.New(rand.NewPCG(3, 4)), 0
	for range 3000 {
		rules, requests := randomInput(rng.IntN)
		table, problems := New(rules, known)
		if table == nil {
			continue
		}
		for i := range requests {
			got, err := table.Find(&requests[i])
			for _, p := range problems {
				if found++; err == nil && p.Rules[0] == got {
					t.Fatalf("problem %v: the rule takes precedence for request %+v, want never", p, requests[i])
				}
			}
		}
	}
	if found == 0 {
		t.Error("got no shadowed rule in any table, want some for the test to be valid")
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var rules []Rule
			for i := range n {
				rules = append(rules, Rule{Name: fmt.Sprint(i), Pool: "p", Host: fmt.Sprintf("h%d.svc", i%97), Path: fmt.Sprintf("/shops/{id}/part%d/*", i/97)})
			}
			table, problems := New(rules, Vocabulary{})
			if len(problems) > 0 {
				b.Fatal(problems)
			}
			q := &Request{Host: fmt.Sprintf("h%d.svc", (n-1)%97), Path: fmt.Sprintf("/shops/north/part%d/x/y", (n-1)/97), Method: "GET"}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Find(q); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
