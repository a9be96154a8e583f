package vwapi_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
)

// A code without a title and a status would reach callers as an empty document with status 0.
func TestCodes(t *testing.T) {
	source, err := os.ReadFile("code.go")
	require.NoError(t, err)
	declared := regexp.MustCompile(`(?m)^\tCode\w+ += "(\w+)"$`).FindAllSubmatch(source, -1)
	require.Len(t, declared, len(vwapi.Codes()))
	for _, match := range declared {
		code := string(match[1])
		require.NotEmpty(t, vwapi.TitleOf(code), code)
		require.GreaterOrEqual(t, vwapi.StatusOf(code), 200, code)
	}
}
