package proxy

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"ryerill/config"
	"ryerill/downstream"
	"ryerill/route"
)

// router selects the pool of a request. It is immutable and replaced by a reload; a request stays with the pool
// selected for it.
type router struct {
	table       *route.Table
	targets     []routeTarget // by the table's index
	only        *core         // the pool of a single route that matches everything; nil if there is none
	maxDeadline time.Duration
}

// routeTarget is the pool and class that a route selects.
type routeTarget struct {
	pool  *core
	class string
}

// newRouter returns a router for routes, or the first fatal problem.
func newRouter(routes []config.Route, pools map[string]*core) (*router, error) {
	r := &router{}
	rules := make([]route.Rule, len(routes))
	for i, entry := range routes {
		rules[i] = entry.Rule
		r.targets = append(r.targets, routeTarget{pools[entry.Pool], entry.Class})
	}
	var problems []route.Problem
	if r.table, problems = route.New(rules, route.Vocabulary{}); r.table == nil {
		return nil, firstFatal(problems)
	}
	for _, pool := range pools {
		for _, class := range pool.settings.Balancer.Classes {
			r.maxDeadline = max(r.maxDeadline, class.Deadline)
		}
	}
	// A configuration in the platform's format has one route for everything; paths are passed unchanged.
	if len(routes) == 1 && matchesEverything(routes[0]) {
		r.only = r.targets[0].pool
	}
	return r, nil
}

func matchesEverything(r config.Route) bool {
	return r.Host == "" && r.Path == "" && len(r.Methods)+len(r.Classes)+len(r.Headers) == 0 && r.Rewrite == ""
}

// firstFatal returns the first fatal problem.
func firstFatal(problems []route.Problem) error {
	for _, problem := range problems {
		if problem.Fatal() {
			return problem
		}
	}
	return errors.New("invalid routes")
}

// Find implements [downstream.Router].
func (r *router) Find(req *http.Request, class string) (downstream.Route, error) {
	if r.only != nil {
		return downstream.Route{Service: r.only, Class: r.targets[0].class, Target: req.RequestURI}, nil
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	query := route.Request{Host: req.Host, Path: path, Method: req.Method, Class: class,
		Header: func(name string) (string, bool) {
			values, present := req.Header[http.CanonicalHeaderKey(name)]
			if !present {
				return "", false
			}
			return values[0], true
		}}
	i, err := r.table.Find(&query)
	if err != nil {
		return downstream.Route{}, err
	}
	target := r.targets[i]
	return downstream.Route{Service: target.pool, Class: target.class, Target: r.table.Target(i, req.RequestURI)}, nil
}

// Find implements [downstream.Router] with the current routes.
func (p *Proxy) Find(req *http.Request, class string) (downstream.Route, error) {
	return p.router.Load().Find(req, class)
}

// MaxDeadline implements [downstream.Router] for the current pools.
func (p *Proxy) MaxDeadline() time.Duration { return p.router.Load().maxDeadline }
