// Package vwsuggest proposes what a person may have meant to write.
package vwsuggest

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxListed bounds how many known names a suggestion lists.
	maxListed = 10
	// maxName is the length of the longest name that is compared, because the time for a comparison
	// grows with the product of both lengths.
	maxName = 63
)

// Name proposes the known name nearest to a mistyped one, or lists the known ones.
func Name(mistyped string, known []string) string {
	best, bestDistance := "", len(mistyped)/2+1
	for _, candidate := range known {
		if len(mistyped) > maxName {
			break
		}
		if d := editDistance(strings.ToLower(mistyped), strings.ToLower(candidate)); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	if best != "" {
		return fmt.Sprintf("write %q", best)
	}
	if len(known) > maxListed {
		known = append(slices.Clone(known[:maxListed]), "...")
	}
	return "write one of " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
