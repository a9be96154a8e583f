package vwjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sync"
)

// structNames are the field names of struct types.
var structNames sync.Map

func namesOf(kind reflect.Type) []string {
	if names, known := structNames.Load(kind); known {
		return names.([]string)
	}
	var names []string
	for i := range kind.NumField() {
		if field := kind.Field(i); field.IsExported() {
			names = append(names, field.Name)
		}
	}
	structNames.Store(kind, names)
	return names
}

// checkNames refuses names of an object that are unknown or repeated. The text is a whole object that
// encoding/json has accepted, so only strings and brackets matter. Reading its tokens by json.Decoder
// instead took three times as long for a task.
func checkNames(text []byte, known []string) error {
	var seen uint64
	depth, isName := 0, false
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '{', '[':
			depth++
			isName = depth == 1
		case '}', ']':
			depth--
		case ',':
			isName = depth == 1
		case '"':
			end := endOfString(text, i)
			if isName {
				index, err := findName(text[i:end], known)
				if err != nil {
					return err
				}
				if seen&(1<<index) != 0 {
					return fmt.Errorf("field %q stands twice", known[index])
				}
				seen |= 1 << index
				isName = false
			}
			i = end - 1
		}
	}
	return nil
}

// endOfString returns the index after the string that begins at begin.
func endOfString(text []byte, begin int) int {
	for i := begin + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

func findName(quoted []byte, known []string) (int, error) {
	for index, name := range known {
		if string(quoted[1:len(quoted)-1]) == name {
			return index, nil
		}
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return 0, err
	}
	// A name with escapes may still be a known one.
	if index := slices.Index(known, name); index >= 0 {
		return index, nil
	}
	return 0, ErrUnknownField{Name: name}
}
