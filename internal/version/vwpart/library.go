package vwpart

import (
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwflate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Library holds the parts of the newest rules at a control member. It is not safe for concurrent use.
type Library struct {
	version vwid.ConfigVersion
	order   []vwid.RulesPart
	parts   map[vwid.RulesPart]*storedPart
}

// storedPart is a part that is compressed when it is first asked for.
type storedPart struct {
	text   []byte
	packed []byte
}

// Update replaces the parts by those of a configuration, if its version differs, and returns their ids in order.
func (l *Library) Update(config vwstate.Config) []vwid.RulesPart {
	if l.parts != nil && l.version == config.Version {
		return l.order
	}
	earlier := l.parts
	l.version, l.order, l.parts = config.Version, nil, map[vwid.RulesPart]*storedPart{}
	for _, part := range Cut(config.Text) {
		stored := &storedPart{text: part.Text}
		if same, known := earlier[part.ID]; known {
			stored.packed = same.packed
		}
		l.order = append(l.order, part.ID)
		l.parts[part.ID] = stored
	}
	return l.order
}

// Knows reports whether any of the parts is known.
func (l *Library) Knows(ids []vwid.RulesPart) bool {
	for _, id := range ids {
		if _, known := l.parts[id]; known {
			return true
		}
	}
	return false
}

// Read returns those of the parts that are known and take at most maxBytes, and at least one if any is known.
func (l *Library) Read(ids []vwid.RulesPart, maxBytes int) []vwstate.RulesPart {
	var found []vwstate.RulesPart
	size := 0
	for _, id := range ids {
		stored, known := l.parts[id]
		if !known {
			continue
		}
		if stored.packed == nil {
			stored.packed = vwflate.Pack(stored.text)
		}
		if size += len(stored.packed); size > maxBytes && len(found) > 0 {
			break
		}
		found = append(found, vwstate.RulesPart{ID: id, Packed: stored.packed})
	}
	return found
}
