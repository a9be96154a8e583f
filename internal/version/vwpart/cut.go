// Package vwpart transfers the text of the rules in parts. A part is identified by its content, so that a transfer continues
// at any control member and a new version costs only the parts that differ from those of the version held.
package vwpart

import (
	"bytes"
	"crypto/sha256"
	"hash/fnv"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// meanLines is the mean number of lines of a part. It is a power of two.
	meanLines = 32
	// maxPartBytes ends a part early, unless it is a single longer line.
	maxPartBytes = 16 << 10
	// idBytes is the length of an id, which makes a collision of two parts of one cluster improbable.
	idBytes = 16
)

// Part is a part of the text of the rules.
type Part struct {
	ID   vwid.RulesPart
	Text []byte
}

// Cut divides a text into parts that consist of whole lines. The content of a line decides whether a part ends after it, so
// that a changed line changes the parts around it and no others. The parts share the memory of text.
func Cut(text []byte) []Part {
	var parts []Part
	start, end := 0, 0
	for line := range bytes.Lines(text) {
		if end > start && end-start+len(line) > maxPartBytes {
			parts = append(parts, makePart(text[start:end]))
			start = end
		}
		end += len(line)
		if endsPart(line) {
			parts = append(parts, makePart(text[start:end]))
			start = end
		}
	}
	if end > start {
		parts = append(parts, makePart(text[start:end]))
	}
	return parts
}

func endsPart(line []byte) bool {
	hash := fnv.New32a()
	// Hash writers return no errors.
	_, _ = hash.Write(line)
	sum := hash.Sum32()
	// The low bits of the hash alone depend on few bits of the line.
	return (sum^sum>>16)%meanLines == 0
}

func makePart(text []byte) Part {
	return Part{ID: identify(text), Text: text}
}

func identify(text []byte) vwid.RulesPart {
	sum := sha256.Sum256(text)
	return vwid.RulesPart(sum[:idBytes])
}
