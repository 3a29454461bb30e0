package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/config"
)

const hostedHead = `
instance: {name: i, domain: d}
listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2", metrics: "127.0.0.1:3"}
store: {addr: "127.0.0.1:4"}
`

func TestPartsOfTheRoomAreChecked(t *testing.T) {
	for body, want := range map[string]string{
		"route: r, ceiling: 0.5, guarantee: 0.2":                 "",
		"account: a, weight: 3":                                  "",
		"account: a, ceiling: 0":                                 "",
		"route: r, ceiling: -0.1":                                "admission.parts[0].ceiling",
		"route: r, ceiling: 1.1":                                 "admission.parts[0].ceiling",
		"route: r, ceiling: .nan":                                "admission.parts[0].ceiling",
		"route: r, guarantee: -0.1":                              "admission.parts[0].guarantee",
		"route: r, guarantee: 1.5":                               "admission.parts[0].guarantee",
		"route: r, guarantee: .nan":                              "admission.parts[0].guarantee",
		"route: r, guarantee: 0.5, ceiling: 0.4":                 "admission.parts[0].guarantee",
		"route: r, weight: 2":                                    "admission.parts[0].weight",
		"account: a, weight: 0":                                  "admission.parts[0].weight",
		`route: "", ceiling: 0.5`:                                "admission.parts[0].route: is an empty name",
		`account: "", ceiling: 0.5`:                              "admission.parts[0].account: is an empty name",
		"ceiling: 0.5":                                           "admission.parts[0]",
		"route: r, account: a":                                   "admission.parts[0].account",
		"route: r, guarantee: 0.6}, {account: a, guarantee: 0.5": "admission.parts[1].guarantee",
		"route: r}, {route: r":                                   "admission.parts[1]",
	} {
		t.Run(body, func(t *testing.T) {
			_, err := config.ParseHosted("f", []byte(strings.TrimLeft(hostedHead, "\n")+"admission: {parts: [{"+body+"}]}\n"))
			if want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, want)
		})
	}
}
