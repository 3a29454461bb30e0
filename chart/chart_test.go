package chart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/chart"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	require.NotEmpty(t, chart.Names())
	for _, name := range chart.Names() {
		_, err := chart.Load(name)
		require.NoError(t, err, name)
	}
}

func TestParseRefusesBrokenCharts(t *testing.T) {
	tests := map[string]string{
		"state x cannot be reached":       "initial: a\nfinal: [b]\ntransitions: {a: {go: b}, x: {go: b}}",
		"state c cannot be left":          "initial: a\nfinal: [b]\ntransitions: {a: {go: b, stay: c}}",
		"final state d cannot be reached": "initial: a\nfinal: [b, d]\ntransitions: {a: {go: b}}",
		"final state b has transitions":   "initial: a\nfinal: [b]\ntransitions: {a: {go: b}, b: {go: a}}",
		"unknown field \"transition\"":    "initial: a\nfinal: [b]\ntransition: {a: {go: b}}",
	}
	for want, body := range tests {
		_, err := chart.Parse("t", []byte(body))
		require.ErrorContains(t, err, want)
	}
}

func TestMachineRefusesEventsWithoutTransition(t *testing.T) {
	c, err := chart.Parse("t", []byte("initial: a\nfinal: [b]\ntransitions: {a: {go: b}}"))
	require.NoError(t, err)
	m := chart.New(c)
	require.Error(t, m.Fire("stop"))
	require.Equal(t, chart.State("a"), m.State())
	require.NoError(t, m.Fire("go"))
	require.True(t, m.Done())
	require.False(t, m.Can("go"))
}
