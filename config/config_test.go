package config_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/config"
)

const good = `instance: {name: a1, domain: east}
listen: {callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3", health: "127.0.0.1:4"}
platform: {kv: "127.0.0.1:5", instances: "127.0.0.1:6"}
keys: {authority: ca.pem, certificate: a1.pem, key: a1-key.pem}
`

func TestDefaultsApplyToMissingKeys(t *testing.T) {
	s, err := config.Parse("f", []byte(good+"limits: {queue_wait: 3s}\n"))
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, s.Limits.QueueWait)
	require.Equal(t, config.Default().Limits.BodyBytes, s.Limits.BodyBytes)
	require.Equal(t, "info", s.Log.Level)
}

func TestEveryMistakeIsReportedWithItsLine(t *testing.T) {
	_, err := config.Parse("jxd.yaml", []byte(good+"limits: {queue_wait: soon, body_bytes: 3}\nlog: {level: loud}\nlimit: {}\n"))
	for _, want := range []string{
		"jxd.yaml:5: limits.queue_wait: is not a duration such as 250ms or 2s",
		"jxd.yaml:5: limits.body_bytes: accepted: at least 1024",
		"jxd.yaml:6: log.level: accepted: one of debug, info, warn, error",
		"jxd.yaml:7: limit: unknown key; accepted: instance, listen, platform, peers, keys, limits, drain, log",
	} {
		require.ErrorContains(t, err, want)
	}
}

func TestReferencePageIsUpToDate(t *testing.T) {
	want, err := config.Reference()
	require.NoError(t, err)
	got, err := os.ReadFile("../docs/CONFIGURATION.md")
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run jxd reference > docs/CONFIGURATION.md")
}

const goodHosted = `instance: {name: a1, domain: east}
listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2", metrics: "127.0.0.1:3"}
store: {addr: "127.0.0.1:4"}
`

func TestHostedDefaultsApplyToMissingKeys(t *testing.T) {
	s, err := config.ParseHosted("f", []byte(goodHosted+"stop: {grace: 8s}\n"))
	require.NoError(t, err)
	require.Equal(t, 8*time.Second, s.Stop.Grace)
	require.Equal(t, config.DefaultHosted().Repeats, s.Repeats)
}

func TestEveryMistakeInAHostedFileIsReportedWithItsLine(t *testing.T) {
	_, err := config.ParseHosted("f.yaml", []byte(goodHosted+"repeats: {share: 3, window: soon}\nmemory: {megabytes: 1}\nkey: {}\n"))
	for _, want := range []string{"f.yaml:4: repeats.share", "f.yaml:4: repeats.window", "f.yaml:5: memory.megabytes", "f.yaml:6: key: unknown key"} {
		require.ErrorContains(t, err, want)
	}
}

// TestFilledSettingsTemplateIsValid fills every placeholder of the platform's template with a typical value.
func TestFilledSettingsTemplateIsValid(t *testing.T) {
	body, err := os.ReadFile("../deploy/settings.yaml")
	require.NoError(t, err)
	filled := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(body), func(placeholder string) string {
		switch {
		case strings.Contains(placeholder, "addr"):
			return "127.0.0.1:1"
		case strings.Contains(placeholder, "node_ip"):
			return "127.0.0.1"
		case strings.Contains(placeholder, "strict"):
			return "true"
		case strings.Contains(placeholder, "ratio"):
			return "0.2"
		case strings.Contains(placeholder, "_ms"):
			return "2000"
		case strings.Contains(placeholder, "_mb"):
			return "284"
		default:
			return "8"
		}
	})
	_, err = config.ParseHosted("settings.yaml", []byte(filled))
	require.NoError(t, err)
}
