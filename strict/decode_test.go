package strict_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/strict"
)

type sample struct {
	Name  string        `yaml:"name" validate:"required"`
	Count int           `yaml:"count" validate:"min=1,max=9"`
	Wait  time.Duration `yaml:"wait"`
	Addr  string        `yaml:"addr" validate:"omitempty,ipport"`
	Parts []part        `yaml:"parts" validate:"dive"`
}

type part struct {
	Kind string `yaml:"kind" validate:"oneof=a b"`
}

func TestDecodeReportsEveryMistakeWithItsLine(t *testing.T) {
	tests := []struct {
		name string
		body string
		want []string
	}{
		{"good", "name: x\ncount: 3\nwait: 20ms\nparts:\n- kind: a\n", nil},
		{"unknown key and wrong type", "name: x\ncuont: 3\ncount: many\n", []string{
			"f:2: cuont: unknown key; accepted: name, count, wait, addr, parts", "f:3: count: is not a whole number",
		}},
		{"missing and out of range", "count: 12\n", []string{"f:1: name: is missing", "f:1: count: accepted: at most 9"}},
		{"nested", "name: x\ncount: 1\nparts:\n- kind: a\n- kind: c\n- kint: b\n", []string{
			"f:5: parts[1].kind: accepted: one of a, b", "f:6: parts[2].kint: unknown key; accepted: kind",
			"f:6: parts[2].kind: accepted: one of a, b",
		}},
		{"duration and address", "name: x\ncount: 1\nwait: soon\naddr: localhost\n", []string{
			"f:3: wait: is not a duration such as 250ms or 2s", "f:4: addr: accepted: an IP number and port such as 127.0.0.1:8080",
		}},
		{"twice", "name: x\ncount: 1\ncount: 2\n", []string{"f:3: count: key stands twice"}},
		{"not a mapping", "- 1\n", []string{"f:1: : is not a mapping; accepted keys: name, count, wait, addr, parts", "f:1: name: is missing", "f:1: count: accepted: at least 1"}},
		{"broken", "name: [\n", []string{"(file)"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s sample
			err := strict.Decode("f", []byte(tt.body), &s)
			if tt.want == nil {
				require.NoError(t, err)
				require.Equal(t, 20*time.Millisecond, s.Wait)
				return
			}
			var all *strict.Error
			require.True(t, errors.As(err, &all))
			require.Len(t, all.Problems(), len(tt.want), err)
			for i, want := range tt.want {
				require.Contains(t, all.Problems()[i].String(), want)
			}
		})
	}
}
