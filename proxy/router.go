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

// router finds the pool of a request. It is immutable: a reload replaces it, and a request
// that has found its pool stays with that pool.
type router struct {
	table       *route.Table
	targets     []routeTarget // by the table's index
	only        *core         // the pool of a single route that matches everything; nil if there is none
	maxDeadline time.Duration
}

// routeTarget is where a route leads.
type routeTarget struct {
	pool  *core
	class string
}

// newRouter returns the router of routes, or the first problem that makes them unusable.
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
	// The platform's form of configuration has one route for all: paths pass as they are there.
	if len(routes) == 1 && matchesEverything(routes[0]) {
		r.only = r.targets[0].pool
	}
	return r, nil
}

func matchesEverything(r config.Route) bool {
	return r.Host == "" && r.Path == "" && len(r.Methods)+len(r.Classes)+len(r.Headers) == 0 && r.Rewrite == ""
}

// firstFatal is the first problem of routes that can't be used.
func firstFatal(problems []route.Problem) error {
	for _, problem := range problems {
		if problem.Fatal() {
			return problem
		}
	}
	return errors.New("the routes are at fault")
}

// Find implements [downstream.Router].
func (r *router) Find(req *http.Request, class string) (downstream.Route, error) {
	if r.only != nil {
		return downstream.Route{Service: r.only, Class: r.targets[0].class, Target: req.RequestURI}, nil
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	query := route.Request{Host: req.Host, Path: path, Method: req.Method, Class: class,
		Header: func(name string) (string, bool) {
			values, there := req.Header[http.CanonicalHeaderKey(name)]
			if !there {
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

// Find implements [downstream.Router], by the present routes.
func (p *Proxy) Find(req *http.Request, class string) (downstream.Route, error) {
	return p.router.Load().Find(req, class)
}

// MaxDeadline implements [downstream.Router], by the present pools.
func (p *Proxy) MaxDeadline() time.Duration { return p.router.Load().maxDeadline }
