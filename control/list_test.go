package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/httphead/headcase"
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
	for _, c := range headcase.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			lines, err := listOf(t, c.Answer("", leavingList))
			require.Error(t, err)
			require.Empty(t, lines)
		})
	}
}

// TestAFailureOfThePlatformIsNoInstanceList guards against the body of a failure that is read as the list.
func TestAFailureOfThePlatformIsNoInstanceList(t *testing.T) {
	for _, status := range []string{"204 No Content", "404 Not Found", "500 Internal Server Error", "600 Odd"} {
		lines, err := listOf(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n[]")
		require.Error(t, err, status)
		require.Empty(t, lines)
	}
	lines, err := listOf(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+leavingList)
	require.NoError(t, err)
	require.Equal(t, []member.ListedInstance{{Name: "b", Role: member.RoleBackend, Leaving: true}}, lines)
}
