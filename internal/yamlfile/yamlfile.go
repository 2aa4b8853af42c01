// Package yamlfile reads YAML strictly and says where in a file something
// stands: every fault that a person made is named with line and column.
package yamlfile

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Tree is a file's text as a tree, to find where its keys stand.
type Tree struct{ file *ast.File }

// Decode reads text into v, a pointer. Unknown keys and doubled ones are errors,
// which name the file, line and column, and a key that may have been meant.
func Decode(name string, text []byte, v any) (Tree, error) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return Tree{}, located(name, nil, err, nil)
	}
	if err := yaml.UnmarshalWithOptions(text, v, yaml.Strict()); err != nil {
		return Tree{}, located(name, tree, err, v)
	}
	return Tree{tree}, nil
}

var quoted = regexp.MustCompile(`"([^"]*)"$`)

func located(name string, tree *ast.File, err error, v any) error {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		p, text := at.GetToken().Position, at.GetMessage()
		if _, key, unknown := strings.Cut(text, "unknown field "); unknown && v != nil {
			text += ", want a key of this place" + Suggest(strings.Trim(key, `"`), keys(reflect.TypeOf(v), 0))
		}
		return fmt.Errorf("%s:%d:%d: %s", name, p.Line, p.Column, text)
	}
	// Errors of conversions carry the value and not its place.
	if m := quoted.FindStringSubmatch(err.Error()); m != nil && tree != nil {
		found := &finder{value: m[1]}
		for _, doc := range tree.Docs {
			ast.Walk(found, doc.Body)
		}
		if found.at != nil {
			p := found.at.GetToken().Position
			return fmt.Errorf("%s:%d:%d: unexpected value %q: %s", name, p.Line, p.Column, m[1], hint(err))
		}
	}
	return fmt.Errorf("%s: %w", name, err)
}

func hint(err error) string {
	if strings.Contains(err.Error(), "duration") {
		return "want a time with a unit, as in 250ms or 2s"
	}
	return err.Error()
}

// finder finds the first scalar of a value.
type finder struct {
	value string
	at    ast.Node
}

func (f *finder) Visit(n ast.Node) ast.Visitor {
	if s, ok := n.(*ast.StringNode); ok && f.at == nil && s.Value == f.value {
		f.at = n
	}
	return f
}

// mostDeep bounds how deep keys are looked for.
const mostDeep = 8

// keys are all keys that a type's YAML form has, at any depth.
func keys(t reflect.Type, depth int) (names []string) {
	if depth > mostDeep {
		return nil
	}
	switch t.Kind() {
	case reflect.Slice, reflect.Pointer:
		return keys(t.Elem(), depth+1)
	case reflect.Struct:
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() {
				name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
				names = append(append(names, name), keys(f.Type, depth+1)...)
			}
		}
	}
	return names
}

// Suggest suggests the word that is closest to one that was written, if any is close.
func Suggest(word string, words []string) string {
	best, least := "", 3
	for _, w := range words {
		if d := levenshtein.Distance(word, w, nil); w != "" && w != word && d < least {
			best, least = w, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", best)
}

// Position returns ":line:column" of a key like pools[0].limits.open, or of its
// nearest parent that the text has; "" if there is none.
func (t Tree) Position(key string) string {
	for t.file != nil && key != "" {
		if path, err := yaml.PathString("$." + key); err == nil {
			if node, err := path.FilterFile(t.file); err == nil && node != nil && node.GetToken() != nil {
				p := node.GetToken().Position
				return fmt.Sprintf(":%d:%d", p.Line, p.Column)
			}
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return ""
}
