package vwpart

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwflate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Assembly collects the parts of a text at the process that fetches it. It is not safe for concurrent use.
type Assembly struct {
	parts map[vwid.RulesPart][]byte
}

// MakeAssembly returns an assembly without parts.
func MakeAssembly() *Assembly {
	return &Assembly{parts: map[vwid.RulesPart][]byte{}}
}

// Missing returns those of the parts that the assembly lacks, each once and in order.
func (a *Assembly) Missing(ids []vwid.RulesPart) []vwid.RulesPart {
	var missing []vwid.RulesPart
	listed := map[vwid.RulesPart]bool{}
	for _, id := range ids {
		if _, known := a.parts[id]; known || listed[id] {
			continue
		}
		listed[id] = true
		missing = append(missing, id)
	}
	return missing
}

// Add unpacks a part and adds it. It refuses a part whose content does not belong to its id.
func (a *Assembly) Add(part vwstate.RulesPart) error {
	text, err := vwflate.Unpack(part.Packed, int(vwrule.MaxText))
	if err != nil {
		return trace.Wrap(err, "a part of the rules cannot be unpacked")
	}
	if identify(text) != part.ID {
		return trace.BadParameter("the content of a part of the rules does not belong to its id")
	}
	a.parts[part.ID] = text
	return nil
}

// Keep drops all parts that are not among the given ones.
func (a *Assembly) Keep(ids []vwid.RulesPart) {
	kept := make(map[vwid.RulesPart][]byte, len(ids))
	for _, id := range ids {
		if text, known := a.parts[id]; known {
			kept[id] = text
		}
	}
	a.parts = kept
}

// Text returns the text that consists of the parts, none of which may be missing.
func (a *Assembly) Text(ids []vwid.RulesPart) []byte {
	size := 0
	for _, id := range ids {
		size += len(a.parts[id])
	}
	text := make([]byte, 0, size)
	for _, id := range ids {
		text = append(text, a.parts[id]...)
	}
	return text
}
