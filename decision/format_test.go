package decision_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/decision"
	"junctioncross/models"
)

// entry returns a log entry with values of all kinds that occur in lines.
func entry() *logrus.Entry {
	return &logrus.Entry{
		Time: time.Unix(100, 42).UTC(), Level: logrus.WarnLevel, Message: `value "x" not readable`,
		Data: logrus.Fields{
			"server": "i-east-1", "path": "a[0,4) b[4,8)", "error": errors.New("line\nbreak"), "quoted": `"\`, "word": "søk <&>", "reason": models.ReasonNoRoom,
			"held_ms": int64(-7), "sends": 3, "likelihood": 0.25, "large": 1e300, "gone": true, "number": uint64(math.MaxUint64), "nothing": nil,
			"broken": "\xff", "name\t": "",
		},
	}
}

func TestFormatMatchesTheJSONFormatterOfLogrus(t *testing.T) {
	got, err := decision.Formatter{}.Format(entry())
	require.NoError(t, err)
	want, err := (&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}).Format(entry())
	require.NoError(t, err)
	require.JSONEq(t, string(want), string(got))
	require.Equal(t, byte('\n'), got[len(got)-1])
}

func TestANumberThatJSONLacksIsWrittenAsText(t *testing.T) {
	e := entry()
	e.Data["likelihood"] = math.NaN()
	got, err := decision.Formatter{}.Format(e)
	require.NoError(t, err)
	values := map[string]any{}
	require.NoError(t, json.Unmarshal(got, &values))
	require.Equal(t, "NaN", values["likelihood"])
}

func BenchmarkFormat(b *testing.B) {
	for name, f := range map[string]logrus.Formatter{
		"own": decision.Formatter{}, "logger's": &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
	} {
		b.Run(name, func(b *testing.B) {
			e := &logrus.Entry{Message: "finished", Data: logrus.Fields{
				"request": "r-1", "instance": "east-1", "domain": "east", "held_ms": int64(4), "sends": 1, "config": int64(3), "config_age_ms": int64(40),
				"route": "repeat", "service": "desk", "account": "account-0", "outcome": "whole",
			}}
			for b.Loop() {
				_, _ = f.Format(e)
			}
		})
	}
}
