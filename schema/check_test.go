package schema_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/schema"
)

const validLine = `{"domain":"east","feed":"servers","from":"store","instance":"east-1","level":"info","msg":"feed heard from elsewhere","time":"2026-01-01T00:00:01Z"}`

func TestALineOfTheSchemaIsAccepted(t *testing.T) {
	require.NoError(t, schema.Check([]byte(validLine)))
}

func TestAnInvalidLineIsRejectedWithTheReason(t *testing.T) {
	for change, want := range map[string]string{
		`"msg":"feed heard from elsewhere"|"msg":"feed heard"`: "feed heard: schema: unknown line",
		`"feed":"servers"|"feed":7`:                            "field feed is not of kind text: 7",
		`"feed":"servers",|`:                                   "field feed is missing",
		`"feed":"servers"|"feed":"servers","why":"x"`:          "field why is not in the schema",
		`"level":"info"|"level":"error"`:                       "level error instead of info",
		`"time":"2026-01-01T00:00:01Z"|"time":"yesterday"`:     "field time is not of kind time: yesterday",
		`{"domain"|"domain"`:                                   "line is not a JSON object",
	} {
		old, by, _ := strings.Cut(change, "|")
		require.ErrorContains(t, schema.Check([]byte(strings.Replace(validLine, old, by, 1))), want)
	}
}
