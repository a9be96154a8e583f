package vwsettings

import (
	"reflect"
	"slices"
	"strings"

	"vanillawind.example/vanillawind/internal/version/vwstate"
)

// key is one key of the settings file together with its value in a Settings.
type key struct {
	// path is the key as it is written in the file, with its table, such as Limits.Slots.
	path     string
	value    reflect.Value
	roles    []string
	required []string
	// fixed keys may only have the default.
	fixed bool
}

// keysOf returns all keys with their values in s, in the order of the file.
func keysOf(s *Settings) []key {
	return appendKeys(nil, "", reflect.ValueOf(s).Elem())
}

func appendKeys(keys []key, prefix string, table reflect.Value) []key {
	for i := range table.NumField() {
		field := table.Type().Field(i)
		if field.Type.Kind() == reflect.Struct {
			keys = appendKeys(keys, prefix+field.Name+".", table.Field(i))
			continue
		}
		keys = append(keys, key{
			path:     prefix + field.Name,
			value:    table.Field(i),
			roles:    strings.Fields(field.Tag.Get("roles")),
			required: strings.Fields(field.Tag.Get("required")),
			fixed:    field.Tag.Get("fixed") != "",
		})
	}
	return keys
}

// has reports whether processes of a role have the key.
func (k key) has(role vwstate.Role) bool {
	return slices.Contains(k.roles, string(role))
}

// mustSet reports whether processes of a role need a value.
func (k key) mustSet(role vwstate.Role) bool {
	return slices.Contains(k.required, string(role))
}

// isUnset reports whether the value is zero or an empty list.
func (k key) isUnset() bool {
	return k.value.IsZero() || k.value.Kind() == reflect.Slice && k.value.Len() == 0
}
