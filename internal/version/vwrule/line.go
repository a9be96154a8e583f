package vwrule

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"vanillawind.example/vanillawind/pkg/vwsuggest"
)

// namePattern keeps names readable in keys, logs and metrics without quotes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// NameForm describes the names that IsName accepts, for suggestions.
const NameForm = "up to 63 letters a-z, digits, - and _, beginning with a letter or digit"

// IsName reports whether a service, team or data centre can have the name.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}

// declarationPattern finds the name in a declaration whose line has a fault of syntax.
var declarationPattern = regexp.MustCompile(`^\s*(Service|Team|DataCentre)\s*\.\s*([A-Za-z0-9_-]+)`)

// simpleNumber matches numbers that are written in the same way in TOML and in Go.
var simpleNumber = regexp.MustCompile(`^-?(0|[1-9][0-9]*)(\.[0-9]+)?$`)

// lineReader reads the syntax of one line. Lines are read one by one, so that a fault in one does not
// hide the faults of the next.
type lineReader struct {
	file   string
	number int
	text   []byte
	// parser is shared by the lines of a file, because it keeps its memory.
	parser *unstable.Parser
	faults []Fault
}

// read returns the rule on the line, in which fields that have faults change nothing. It returns nil for a line
// without a rule and for one whose key has a fault.
func (l *lineReader) read() *rule {
	if !utf8.Valid(l.text) {
		l.report(0, "the line is not valid UTF-8", "save the file as UTF-8")
		return nil
	}
	l.parser.KeepComments = true
	l.parser.Reset(l.text)
	if !l.parser.NextExpression() {
		return l.salvage(l.parser.Error())
	}
	node := l.parser.Expression()
	switch node.Kind {
	case unstable.Comment:
		return nil
	case unstable.KeyValue:
		return l.readRule(node)
	default:
		l.report(0, "a table header is not a rule", "write each rule on one line, as in "+KindShare.example())
		return nil
	}
}

func (l *lineReader) readRule(node *unstable.Node) *rule {
	values, simple := l.readSimple(node)
	var document map[string]any
	if !simple {
		if err := toml.Unmarshal(l.text, &document); err != nil {
			return l.salvage(err)
		}
	}
	r := &rule{line: l.number}
	if !l.readKey(node, r) {
		return nil
	}
	l.readComment(node, r)
	if !simple {
		values = r.valuesIn(document)
	}
	l.readTable(node, r, values)
	return r
}

// readSimple returns the values of an inline table of plain strings, numbers and flags without a second
// pass of the decoder, which takes most of the time of a text with hundreds of routes. It reports false for
// all else.
func (l *lineReader) readSimple(node *unstable.Node) (map[string]any, bool) {
	if node.Value().Kind != unstable.InlineTable {
		return nil, false
	}
	values := map[string]any{}
	for children := node.Value().Children(); children.Next(); {
		child := children.Node()
		if child.Kind != unstable.KeyValue {
			return nil, false
		}
		keys := child.Key()
		keys.Next()
		name := string(keys.Node().Data)
		value, simple := simpleValue(child.Value())
		if _, repeated := values[name]; repeated || !simple || keys.Next() {
			return nil, false
		}
		values[name] = value
	}
	return values, true
}

// simpleValue returns a value whose text TOML and Go read alike.
func simpleValue(node *unstable.Node) (any, bool) {
	text := string(node.Data)
	switch node.Kind {
	case unstable.String:
		return text, utf8.ValidString(text)
	case unstable.Bool:
		return text == "true", true
	case unstable.Integer:
		n, err := strconv.ParseInt(text, 10, 64)
		return n, err == nil && simpleNumber.MatchString(text)
	case unstable.Float:
		n, err := strconv.ParseFloat(text, 64)
		return n, err == nil && simpleNumber.MatchString(text)
	default:
		return nil, false
	}
}

// salvage reports a fault of syntax. It returns the declaration that the line seems to hold, so that the
// rules that use the name are not reported as well.
func (l *lineReader) salvage(err error) *rule {
	l.reportSyntax(err)
	match := declarationPattern.FindSubmatch(l.text)
	if match == nil {
		return nil
	}
	return &rule{kind: Kind(match[1]), names: []name{{text: string(match[2]), column: 1}}, line: l.number, column: 1}
}

// valuesIn returns the values of the rule's fields in the document that holds only this rule.
func (r *rule) valuesIn(document map[string]any) map[string]any {
	values, _ := document[string(r.kind)].(map[string]any)
	for _, n := range r.names {
		values, _ = values[n.text].(map[string]any)
	}
	return values
}

func (l *lineReader) readKey(node *unstable.Node, r *rule) bool {
	for keys := node.Key(); keys.Next(); {
		part := keys.Node()
		r.names = append(r.names, name{string(part.Data), l.column(int(part.Raw.Offset))})
	}
	r.kind, r.column = Kind(r.names[0].text), r.names[0].column
	r.names = r.names[1:]
	if !r.kind.isKnown() {
		known := make([]string, len(kinds))
		for i, k := range kinds {
			known[i] = string(k)
		}
		l.reportAt(r.column, fmt.Sprintf("there is no kind of rule %q", r.kind), vwsuggest.Name(string(r.kind), known))
		return false
	}
	return l.checkNames(r)
}

func (l *lineReader) checkNames(r *rule) bool {
	want := strings.Split(r.kind.keyShape(), ".")
	if len(r.names) != len(want)-1 {
		l.reportAt(r.column, fmt.Sprintf("the key %s does not have the form %s", r.key(), r.kind.keyShape()), "write "+r.kind.example())
		return false
	}
	valid := true
	for _, n := range r.names {
		if !IsName(n.text) {
			l.reportAt(n.column, fmt.Sprintf("%q is not a name", n.text), "write "+NameForm)
			valid = false
		}
	}
	return valid
}

func (l *lineReader) readComment(node *unstable.Node, r *rule) {
	if comment := node.Next(); comment.Valid() && comment.Kind == unstable.Comment {
		r.comment = strings.TrimSpace(strings.TrimPrefix(string(comment.Data), "#"))
	}
	if r.comment == "" {
		end := len(strings.TrimRight(string(l.text), " \t\r#"))
		l.report(end, "the rule does not say who asked for it", "add a comment at the end of the line, such as # Aino Salo, operations")
	}
}

func (l *lineReader) readTable(node *unstable.Node, r *rule, values map[string]any) {
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		l.report(int(value.Raw.Offset), fmt.Sprintf("the value of %s is not an inline table", r.key()), "write "+r.kind.example())
		return
	}
	for children := value.Children(); children.Next(); {
		child := children.Node()
		if child.Kind == unstable.KeyValue {
			l.readField(child, r, values)
		}
	}
	if (r.kind.isPolicy() || r.kind.isDetail()) && !value.Child().Valid() {
		l.reportAt(r.column, r.key()+" sets nothing", "set a field, as in "+r.kind.example()+", or delete the line")
	}
}

func (l *lineReader) readField(node *unstable.Node, r *rule, values map[string]any) {
	keys := node.Key()
	keys.Next()
	key := keys.Node()
	s := setting{name: string(key.Data), text: l.valueText(node), column: l.column(int(key.Raw.Offset))}
	own := r.kind.fields()
	for _, f := range own {
		if f.name != s.name {
			continue
		}
		change, accepted := f.read(values[s.name])
		if !accepted {
			l.reportAt(s.column, fmt.Sprintf("%s cannot be %s", s.name, s.text), fmt.Sprintf("write %s, as in %s = %s", f.want, f.name, f.example))
			change = func(*draft) {}
		}
		s.apply = change
		r.settings = append(r.settings, s)
		return
	}
	l.reportAt(s.column, fmt.Sprintf("%s has no field %q", r.kind, s.name), suggestField(s.name, r.kind, own))
}

func suggestField(mistyped string, kind Kind, own []field) string {
	if len(own) == 0 {
		return fmt.Sprintf("write an empty table, as in %s", kind.example())
	}
	known := make([]string, len(own))
	for i, f := range own {
		known[i] = f.name
	}
	return vwsuggest.Name(mistyped, known)
}

// valueText returns the value of a key as it is written.
func (l *lineReader) valueText(node *unstable.Node) string {
	raw := string(l.parser.Raw(node.Raw))
	_, value, _ := strings.Cut(raw, "=")
	return strings.TrimSpace(value)
}

func (l *lineReader) reportSyntax(err error) {
	var parse *unstable.ParserError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return
	case errors.As(err, &parse):
		l.report(int(l.parser.Range(parse.Highlight).Offset), "the line is not TOML: "+parse.Message, "write each rule on one line, as in "+KindShare.example())
	case errors.As(err, &decode):
		_, column := decode.Position()
		l.report(column-1, "the line is not TOML: "+strings.TrimPrefix(decode.Error(), "toml: "), "write each field once, as in "+KindShare.example())
	default:
		l.report(0, "the line is not TOML: "+err.Error(), "write each rule on one line, as in "+KindShare.example())
	}
}

// column converts an offset in bytes to a column in characters.
func (l *lineReader) column(offset int) int {
	return utf8.RuneCount(l.text[:min(offset, len(l.text))]) + 1
}

func (l *lineReader) report(offset int, message, suggestion string) {
	l.reportAt(l.column(offset), message, suggestion)
}

func (l *lineReader) reportAt(column int, message, suggestion string) {
	l.faults = append(l.faults, Fault{File: l.file, Line: l.number, Column: column, Message: message, Suggestion: suggestion})
}
