package proxy

import (
	"net/http"
	"strings"
	"time"

	"ryerill/config"
	"ryerill/downstream"
	"ryerill/route"
)

// services are the routes and the pools that they lead to. They never change:
// a reload puts others in their place, and what was found before goes on where
// it went.
type services struct {
	table   *route.Table
	ways    []way // by the table's index
	all     *core // a single route that meets everything leads here, unjudged
	longest time.Duration
}

type way struct {
	core  *core
	class string
}

func newServices(routes []config.Route, pools map[string]*core) (*services, []route.Problem) {
	s := &services{}
	rules := make([]route.Rule, len(routes))
	for i, r := range routes {
		rules[i] = r.Rule
		c := pools[r.Pool]
		s.ways = append(s.ways, way{c, r.Class})
	}
	var problems []route.Problem
	if s.table, problems = route.New(rules, route.Vocabulary{}); s.table == nil {
		return nil, problems
	}
	for _, c := range pools {
		for _, k := range c.settings.Balancer.Classes {
			s.longest = max(s.longest, k.Deadline)
		}
	}
	// The platform's form has one route for all: paths pass as they are there.
	if len(routes) == 1 {
		if r := routes[0]; r.Host == "" && r.Path == "" && len(r.Methods)+len(r.Classes)+len(r.Headers) == 0 && r.Rewrite == "" {
			s.all = s.ways[0].core
		}
	}
	return s, nil
}

// Find returns the way of a request.
func (s *services) Find(req *http.Request, class string) (downstream.Route, error) {
	if s.all != nil {
		return downstream.Route{Service: s.all, Class: s.ways[0].class, Target: req.RequestURI}, nil
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	q := route.Request{Host: req.Host, Path: path, Method: req.Method, Class: class, Header: func(name string) (string, bool) {
		v, there := req.Header[http.CanonicalHeaderKey(name)]
		if !there {
			return "", false
		}
		return v[0], true
	}}
	i, err := s.table.Find(&q)
	if err != nil {
		return downstream.Route{}, err
	}
	return downstream.Route{Service: s.ways[i].core, Class: s.ways[i].class, Target: s.table.Target(i, req.RequestURI)}, nil
}

// MaxDeadline is the longest deadline of all classes.
func (s *services) MaxDeadline() time.Duration { return s.longest }
