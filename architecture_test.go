package ryerill_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// floors are the layers of the program, lowest first: a package imports only packages of the floors below its own, and
// on the floors that say so packages of the same floor.
var floors = []struct {
	name     string
	packages []string // "lab/..." is all below lab
	siblings bool     // packages of this floor may import each other
}{
	{"helpers", []string{"internal/atomicfile", "internal/buffer", "internal/exhaustion", "internal/faultlog", "internal/framing", "internal/golden", "internal/http1", "internal/logging", "internal/seedrand",
		"internal/socket", "internal/yamlfile"}, false},
	{"decisions", []string{"balancer", "route", "fairshare", "drain", "reuse", "fleet/membership", "fleet/quota", "fleet/counter",
		"fleet/outlier", "fleet/rollout"}, false},
	{"decisions on those", []string{"override", "fleet/codec", "fleet/placement", "fleet/statesync"}, false},
	{"messages, lists, files", []string{"message", "discovery", "fleet", "internal/overridestore", "internal/handover"}, false},
	{"connections", []string{"downstream", "upstream", "admin"}, false},
	{"configuration", []string{"config"}, false},
	{"proxy", []string{"proxy"}, false},
	{"rollout agent", []string{"cli/rolloutagent"}, false},
	{"command line", []string{"cli", "simadapter"}, false},
	{"laboratory", []string{"lab/..."}, true},
	{"programs", []string{"cmd/proxy", "cmd/proxy-lab", "cmd/simulator-adapter"}, false},
}

// floorOf returns the index of a package's floor, or -1.
func floorOf(dir string) int {
	for i, floor := range floors {
		for _, p := range floor.packages {
			below, isTree := strings.CutSuffix(p, "/...")
			if p == dir || isTree && strings.HasPrefix(dir, below+"/") {
				return i
			}
		}
	}
	return -1
}

// pure are the packages that decide: no clock, socket, file, goroutine or global. Time and events are arguments.
var pure = []string{"balancer", "fairshare", "route", "override", "drain", "reuse", "internal/seedrand",
	"fleet/membership", "fleet/placement", "fleet/codec", "fleet/quota", "fleet/counter", "fleet/outlier",
	"fleet/statesync", "fleet/rollout",
	"lab/servermodel", "lab/load", "lab/invariant", "lab/metrics", "lab/baseline", "lab/faultnet",
	"lab/membershipsim", "lab/rolloutsim"}

// impure are the packages that a pure one must not import, and impureCalls the functions that it must not use.
var (
	impure = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "sync", "runtime", "log", "log/slog",
		"math/rand", "io/ioutil"}
	impureCalls = []string{"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.AfterFunc",
		"time.NewTimer", "time.NewTicker", "time.Tick"}
)

// strangers are pairs of packages of which the first must not import the second: what they share lies in message.
var strangers = [][2]string{
	{"downstream", "upstream"}, {"upstream", "downstream"}, {"message", "downstream"}, {"message", "upstream"},
}

type source struct {
	dir     string
	file    *ast.File
	imports []string
}

func sources(t *testing.T) (all []source) {
	t.Helper()
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == "journal" || strings.HasPrefix(d.Name(), ".") && path != ".") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		s := source{dir: filepath.ToSlash(filepath.Dir(path)), file: f}
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			s.imports = append(s.imports, name)
		}
		all = append(all, s)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func TestPurePackagesArePure(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range sources(t) {
		if !slices.Contains(pure, s.dir) {
			continue
		}
		seen[s.dir] = true
		for _, i := range s.imports {
			if slices.Contains(impure, i) {
				t.Errorf("%s imports %s", s.dir, i)
			}
			if rest, ours := strings.CutPrefix(i, "ryerill/"); ours && !slices.Contains(pure, rest) && rest != "lab/scenario" {
				t.Errorf("%s imports %s, which is not pure", s.dir, i)
			}
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", s.dir)
			case *ast.SelectorExpr:
				if x, ok := n.X.(*ast.Ident); ok && slices.Contains(impureCalls, x.Name+"."+n.Sel.Name) {
					t.Errorf("%s uses %s.%s", s.dir, x.Name, n.Sel.Name)
				}
			}
			return true
		})
	}
	for _, p := range pure {
		if !seen[p] {
			t.Errorf("no package at %s", p)
		}
	}
}

func TestEachFloorImportsOnlyThoseBelow(t *testing.T) {
	for _, s := range sources(t) {
		own := floorOf(s.dir)
		if own < 0 {
			t.Errorf("%s stands on no floor: add it to floors", s.dir)
			continue
		}
		for _, i := range s.imports {
			dir, ours := strings.CutPrefix(i, "ryerill/")
			if !ours {
				continue
			}
			if other := floorOf(dir); other > own || other == own && !floors[own].siblings {
				t.Errorf("%s (%s) imports %s", s.dir, floors[own].name, dir)
			}
		}
	}
}

func TestWhoMayImportWhom(t *testing.T) {
	for _, s := range sources(t) {
		for _, i := range s.imports {
			for _, pair := range strangers {
				if s.dir == pair[0] && i == "ryerill/"+pair[1] {
					t.Errorf("%s imports %s", s.dir, i)
				}
			}
			if strings.HasPrefix(i, "ryerill/lab") && !strings.HasPrefix(s.dir, "lab") && s.dir != "cmd/proxy-lab" {
				t.Errorf("%s imports %s: nothing that serves depends on the laboratory", s.dir, i)
			}
		}
	}
}

// serving are the packages of the process that serves. The platform refuses it other programs and copies that the kernel
// makes between sockets; a copy to io.Discard is none.
var serving = []string{"balancer", "fairshare", "config", "downstream", "discovery", "drain", "reuse", "internal/atomicfile", "internal/buffer", "cli",
	"internal/framing", "internal/http1", "internal/logging", "internal/socket", "internal/overridestore",
	"internal/handover", "message", "admin", "upstream", "proxy", "route", "override", "fleet", "internal/seedrand",
	"fleet/membership", "fleet/placement", "fleet/codec", "fleet/quota", "fleet/counter", "fleet/outlier",
	"fleet/statesync", "fleet/rollout"}

func TestNothingThatServesForksOrSplices(t *testing.T) {
	refused := []string{"os.StartProcess", "syscall.ForkExec", "syscall.Sendfile", "unix.Sendfile", "unix.Splice", "syscall.Splice", "net.ListenUnix", "net.DialUnix"}
	copies := []string{"io.Copy", "io.CopyN", "io.CopyBuffer"}
	for _, s := range sources(t) {
		if !slices.Contains(serving, s.dir) {
			continue
		}
		if slices.Contains(s.imports, "os/exec") {
			t.Errorf("%s imports os/exec", s.dir)
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			name := func(e ast.Expr) string {
				if sel, ok := e.(*ast.SelectorExpr); ok {
					if x, ok := sel.X.(*ast.Ident); ok {
						return x.Name + "." + sel.Sel.Name
					}
				}
				return ""
			}
			called := name(call.Fun)
			if slices.Contains(refused, called) || slices.Contains(copies, called) && name(call.Args[0]) != "io.Discard" {
				t.Errorf("%s calls %s", s.dir, called)
			}
			return true
		})
	}
}
