package operator_test

import (
	"crypto/tls"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/httphead/headcase"
	"junctioncross/httphead/headtest"
	"junctioncross/keys"
	"junctioncross/operator"
)

// certsOf returns the certificates of a new instance, for both ends.
func certsOf(t *testing.T) *keys.CertReloader {
	authority, err := keys.NewAuthority(time.Now())
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, authority.Write(dir))
	require.NoError(t, authority.Issue(dir, keys.NewIdentity(keys.RoleOperator, "", "one"), time.Now()))
	certs, err := keys.NewCertReloader(keys.FilesOf(dir, "one"))
	require.NoError(t, err)
	return certs
}

// TestAPlanIsNotConfirmedByAnAnswerWithABrokenHead guards operators against a confirmation, or a failure that counts as settled, which the instance did
// not give.
func TestAPlanIsNotConfirmedByAnAnswerWithABrokenHead(t *testing.T) {
	certs := certsOf(t)
	play := func(t *testing.T, answer string) (*headtest.Server, error) {
		listener, err := tls.Listen("tcp4", "127.0.0.1:0", certs.Server())
		require.NoError(t, err)
		server := headtest.NewServerOn(t, listener, answer)
		_, err = operator.NewClient(server.Addr(), certs).Confirm("p")
		return server, err
	}
	for _, c := range headcase.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			server, err := play(t, c.Answer("", "{}"))
			require.ErrorContains(t, err, "no answer; ask again")
			require.Equal(t, 1, server.Requests(), "it is sent once")
		})
	}
	_, err := play(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
}
