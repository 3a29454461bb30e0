package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/config"
)

// TestTheExampleOfPartsIsAccepted reads the example of docs/OPERATIONS.md.
func TestTheExampleOfPartsIsAccepted(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "## A part of the room for a route or an account\n\n")
	require.True(t, found)
	block, _, _ := strings.Cut(section, "\n\n")
	settings, err := config.ParseHosted("f", []byte(strings.TrimLeft(hostedHead, "\n")+strings.ReplaceAll("\n"+block, "\n    ", "\n")+"\n"))
	require.NoError(t, err)
	require.True(t, settings.Admission.Accounts)
	require.Len(t, settings.Admission.Parts, 3)
}
