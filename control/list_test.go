package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/httphead/headtest"
	"junctioncross/member"
	"junctioncross/once"
)

// listOf reads the instance list of a platform that gives an answer.
func listOf(t *testing.T, answer string) ([]member.ListedInstance, error) {
	server := headtest.NewServer(t, answer)
	l := &Loop{self: Self{ListAddr: server.Addr()}, http: once.NewClient(listTimeout)}
	return l.readList()
}

// leavingList is a list in which a backend server leaves.
const leavingList = `[{"name":"b","role":"backend","leaving":true}]`

// TestAnInstanceListWithABrokenHeadIsNotUsed guards against servers that count as leaving, which get no new work, since the head of the list was
// mended.
func TestAnInstanceListWithABrokenHeadIsNotUsed(t *testing.T) {
	for _, c := range headtest.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			lines, err := listOf(t, c.Answer("", leavingList))
			require.Error(t, err)
			require.Empty(t, lines)
		})
	}
}
