// Package vwjson reads JSON bodies strictly: names are matched exactly, and unknown and repeated fields
// are errors. encoding/json alone ignores case and takes the last of repeated fields, so that two
// readers of one body could understand different things.
package vwjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
)

// ErrUnknownField is returned for a field that the reader does not know.
type ErrUnknownField struct{ Name string }

// Error implements error.
func (e ErrUnknownField) Error() string { return fmt.Sprintf("unknown field %q", e.Name) }

// IsUnknownField reports whether err is an ErrUnknownField.
func IsUnknownField(err error) bool {
	var target ErrUnknownField
	return errors.As(err, &target)
}

// Decode reads one document into the struct that target points to, and expects the end after it.
func Decode(reader io.Reader, target any) error {
	decoder := json.NewDecoder(reader)
	if err := Struct(decoder, target); err != nil {
		return err
	}
	return End(decoder)
}

// Struct reads the next value, an object, into the struct that target points to. The names are those of
// the struct's exported fields.
func Struct(decoder *json.Decoder, target any) error {
	value := reflect.ValueOf(target).Elem()
	return Object(decoder, func(name string) error {
		field := value.FieldByName(name)
		if !field.IsValid() || !field.CanSet() {
			return ErrUnknownField{Name: name}
		}
		return Value(decoder, field.Addr().Interface())
	})
}

// Object reads the next value, an object. It calls read for each field, which reads the field's value.
func Object(decoder *json.Decoder, read func(name string) error) error {
	if err := expect(decoder, json.Delim('{')); err != nil {
		return err
	}
	seen := make([]string, 0, 8)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return explain(err)
		}
		name, _ := token.(string)
		if slices.Contains(seen, name) {
			return fmt.Errorf("field %q stands twice", name)
		}
		seen = append(seen, name)
		if err := read(name); err != nil {
			if IsUnknownField(err) {
				return err
			}
			return fmt.Errorf("field %q: %w", name, err)
		}
	}
	return expect(decoder, json.Delim('}'))
}

// Array reads the next value, an array. It calls read for each element, which reads the element.
func Array(decoder *json.Decoder, read func() error) error {
	if err := expect(decoder, json.Delim('[')); err != nil {
		return err
	}
	for decoder.More() {
		if err := read(); err != nil {
			return err
		}
	}
	return expect(decoder, json.Delim(']'))
}

// Value reads the next value.
func Value(decoder *json.Decoder, target any) error {
	return explain(decoder.Decode(target))
}

// End expects that nothing follows.
func End(decoder *json.Decoder) error {
	_, err := decoder.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil && !isSyntax(err):
		return explain(err)
	}
	return errors.New("something follows the end of the document")
}

func expect(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return explain(err)
	}
	switch token {
	case want:
		return nil
	case nil:
		token = "null"
	}
	return fmt.Errorf("found %v where %v must stand", token, want)
}

func isSyntax(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax)
}

// explain words the errors of encoding/json for a reader who does not know Go.
func explain(err error) error {
	var kind *json.UnmarshalTypeError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.New("the body ends early")
	case errors.As(err, &kind):
		return fmt.Errorf("must be %s, not %s", nameOf(kind.Type.Kind()), kind.Value)
	}
	return err
}

func nameOf(kind reflect.Kind) string {
	switch {
	case kind == reflect.String:
		return "a string"
	case kind == reflect.Bool:
		return "true or false"
	case kind >= reflect.Int && kind <= reflect.Uint64:
		return "a whole number"
	}
	return kind.String()
}
