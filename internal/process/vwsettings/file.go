package vwsettings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwsuggest"
)

// Load reads and checks a settings file. Relative paths in it are taken from the file's directory.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path) // #nosec G304 -- the operator names the file
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	s, err := Parse(path, text)
	if err != nil {
		return Settings{}, trace.Wrap(err)
	}
	s.resolvePaths(filepath.Dir(path))
	return s, nil
}

// Parse reads and checks the text of a settings file. File is the name that faults show. It leaves
// relative paths as they are.
func Parse(file string, text []byte) (Settings, error) {
	f := settingsFile{name: file, text: text, lines: map[string]int{}}
	if err := f.index(); err != nil {
		return Settings{}, trace.Wrap(err)
	}
	s, err := f.decode()
	if err != nil {
		return Settings{}, trace.Wrap(err)
	}
	faults := append(f.unknownKeys(&s), FaultsOf(Check(s))...)
	f.locate(faults)
	return s, trace.Wrap(refuse(faults))
}

// settingsFile is the text of a file with the lines of its keys.
type settingsFile struct {
	name string
	text []byte
	// lines holds the line of each key and table by its path.
	lines map[string]int
	// keys are the paths of all keys and table headers in the order of the file.
	keys []string
}

// index finds the lines of all keys.
func (f *settingsFile) index() error {
	var parser unstable.Parser
	parser.Reset(f.text)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := f.pathOf(&parser, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path + "."
			f.lines[path] = line
			f.keys = append(f.keys, path)
		case unstable.KeyValue:
			f.indexValue(table+path, line, node)
		default:
		}
	}
	var syntax *unstable.ParserError
	if errors.As(parser.Error(), &syntax) {
		line := parser.Shape(parser.Range(syntax.Highlight)).Start.Line
		return f.refuseLine(line, "", syntax.Message)
	}
	return trace.Wrap(parser.Error())
}

// indexValue enters a key, or the keys inside when its value is an inline table.
func (f *settingsFile) indexValue(path string, line int, node *unstable.Node) {
	f.lines[path] = line
	if node.Value().Kind != unstable.InlineTable {
		f.keys = append(f.keys, path)
		return
	}
	for children := node.Value().Children(); children.Next(); {
		if child := children.Node(); child.Kind == unstable.KeyValue {
			f.indexValue(path+"."+joinKey(child), line, child)
		}
	}
}

func (f *settingsFile) pathOf(parser *unstable.Parser, node *unstable.Node) (path string, line int) {
	if node.Kind == unstable.Comment {
		return "", 0
	}
	keys := node.Key()
	keys.Next()
	return joinKey(node), parser.Shape(keys.Node().Raw).Start.Line
}

func joinKey(node *unstable.Node) string {
	var parts []string
	for keys := node.Key(); keys.Next(); {
		parts = append(parts, string(keys.Node().Data))
	}
	return strings.Join(parts, ".")
}

// decode reads the values over the defaults of the role.
func (f *settingsFile) decode() (Settings, error) {
	var own struct{ Role vwstate.Role }
	if err := toml.Unmarshal(f.text, &own); err != nil {
		return Settings{}, f.refuseValue(err)
	}
	s := Defaults(own.Role)
	if err := toml.NewDecoder(bytes.NewReader(f.text)).Decode(&s); err != nil {
		return Settings{}, f.refuseValue(err)
	}
	return s, nil
}

// refuseValue returns the fault for a value that cannot be read.
func (f *settingsFile) refuseValue(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return f.refuseLine(1, "", err.Error())
	}
	line, _ := decode.Position()
	// The decoder's message goes on with the Go type of the field, which says nothing to an operator.
	message, _, _ := strings.Cut(strings.TrimPrefix(decode.Error(), "toml: "), " into struct field ")
	return f.refuseLine(line, f.keyAt(line), message)
}

// keyAt returns the longest path of a key on a line.
func (f *settingsFile) keyAt(line int) string {
	longest := ""
	for _, path := range f.keys {
		if f.lines[path] == line && len(path) > len(longest) {
			longest = path
		}
	}
	return longest
}

func (f *settingsFile) refuseLine(line int, path, message string) error {
	fault := Fault{File: f.name, Line: line, Key: path, Message: message, Suggestion: "write the value as the example of the role in examples/settings does"}
	return trace.Wrap(refuse([]Fault{fault}))
}

// unknownKeys returns a fault for each key that is not spelled exactly as a known one.
func (f *settingsFile) unknownKeys(s *Settings) []Fault {
	known := map[string]bool{}
	var paths []string
	for _, k := range keysOf(s) {
		table, _, _ := strings.Cut(k.path, ".")
		known[k.path], known[table] = true, true
		if k.has(s.Role) {
			paths = append(paths, k.path)
		}
	}
	var faults []Fault
	for _, path := range f.keys {
		if !known[path] {
			faults = append(faults, Fault{Key: path, Message: "there is no such key", Suggestion: suggestKey(path, paths)})
		}
	}
	return faults
}

// suggestKey proposes a key of the same table if there is one, and any key otherwise.
func suggestKey(path string, paths []string) string {
	table, _, _ := strings.Cut(path, ".")
	var near []string
	for _, p := range paths {
		if strings.HasPrefix(p, table+".") {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		near = paths
	}
	return vwsuggest.Name(path, near)
}

// locate fills in the file and line of faults.
func (f *settingsFile) locate(faults []Fault) {
	for i := range faults {
		faults[i].File, faults[i].Line = f.name, f.lineOf(faults[i].Key)
	}
}

// lineOf returns the line of a key, of its table when the key is missing, or the first line.
func (f *settingsFile) lineOf(path string) int {
	if line, found := f.lines[path]; found {
		return line
	}
	table, _, _ := strings.Cut(path, ".")
	return max(f.lines[table], 1)
}

// resolvePaths makes relative paths start at a directory.
func (s *Settings) resolvePaths(directory string) {
	for _, path := range []*string{&s.DataDirectory, &s.Keys.Certificate, &s.Keys.Key, &s.Keys.Authority, &s.Log.EventFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(directory, *path)
		}
	}
}
