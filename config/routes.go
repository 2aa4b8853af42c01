package config

import (
	"fmt"
	"maps"
	"slices"

	"ryerill/balancer"
	"ryerill/internal/yamlfile"
	"ryerill/route"
)

// Methods are the HTTP methods that a listener accepts.
var Methods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}

// buildRoutes checks the routes and adds them to the configuration. poolIndexes holds the pools by name. It builds the
// routing table once to find rules that are invalid or never match.
func (f *File) buildRoutes(cfg *Config, poolIndexes map[string]int, c *checker) {
	if len(f.Routes) == 0 {
		c.Bad("routes", 0, "one route or more")
	}
	poolNames, classNames := namesOf(cfg.Pools)
	names := map[string]int{}
	used := map[string]bool{}
	for i, file := range f.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		c.uniqueName(key+".name", file.Name, names, i)
		cfg.Routes = append(cfg.Routes, Route{Rule: file.rule(), Class: file.Class})
		used[file.Pool] = true
		poolIndex, known := poolIndexes[file.Pool]
		if !known {
			c.Bad(key+".pool", file.Pool, "the name of a pool"+yamlfile.Suggest(file.Pool, poolNames))
			continue
		}
		file.checkClasses(key, &cfg.Pools[poolIndex], classNames, c)
	}
	checkTable(cfg.Routes, classNames, c)
	for i, pool := range f.Pools {
		if !used[pool.Name] {
			c.Warn(fmt.Sprintf("pools[%d].name", i), pool.Name, "a route that leads to it")
		}
	}
}

// namesOf returns the names of the pools and of all their classes, each once.
func namesOf(pools []Pool) (poolNames, classNames []string) {
	for _, pool := range pools {
		poolNames = append(poolNames, pool.Name)
		for _, class := range pool.Settings.Balancer.Classes {
			if !slices.Contains(classNames, class.Name) {
				classNames = append(classNames, class.Name)
			}
		}
	}
	return poolNames, classNames
}

// rule converts a route to a rule of the routing table.
func (r *RouteFile) rule() route.Rule {
	rule := route.Rule{
		Name:    r.Name,
		Host:    r.Host,
		Path:    r.Path,
		Methods: r.Methods,
		Classes: r.Classes,
		Pool:    r.Pool,
		Rewrite: r.Rewrite,
	}
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		rule.Headers = append(rule.Headers, route.Header{Name: name, Value: r.Headers[name]})
	}
	return rule
}

// checkClasses requires that the classes that a route names belong to its pool.
func (r *RouteFile) checkClasses(key string, pool *Pool, classNames []string, c *checker) {
	hasClass := func(name string) bool {
		return slices.ContainsFunc(pool.Settings.Balancer.Classes, func(class balancer.Class) bool {
			return class.Name == name
		})
	}
	check := func(classKey, name string) {
		if !hasClass(name) {
			c.Bad(classKey, name, fmt.Sprintf("a class of pool %s%s", r.Pool, yamlfile.Suggest(name, classNames)))
		}
	}
	for i, name := range r.Classes {
		check(fmt.Sprintf("%s.classes[%d]", key, i), name)
	}
	if r.Class != "" {
		check(key+".class", r.Class)
	}
}

// checkTable reports the problems that the routing table finds in the rules.
func checkTable(routes []Route, classNames []string, c *checker) {
	rules := make([]route.Rule, len(routes))
	for i := range rules {
		rules[i] = routes[i].Rule
	}
	_, problems := route.New(rules, route.Vocabulary{Methods: Methods, Classes: append(classNames, "")})
	for _, problem := range problems {
		if problem.Field == "pool" {
			continue // an unknown pool is reported with its route
		}
		key := "routes"
		if len(problem.Rules) > 0 {
			key = fmt.Sprintf("routes[%d]", problem.Rules[0])
			if problem.Field != "" && problem.Kind != route.Tie && problem.Kind != route.Shadowed {
				key += "." + problem.Field
			}
		}
		want := "another rule: " + problem.Error()
		if problem.Fatal() {
			c.Bad(key, problem.Kind, want)
		} else {
			c.Warn(key, problem.Kind, want)
		}
	}
}
