package main

import (
	"fmt"
	"net/http"
	"strings"
)

// boundary is the boundary of the forms.
const boundary = "form-5c1e07a2"

// part returns one part of a form, with its header lines.
func part(body string, header ...string) string {
	return "--" + boundary + "\r\n" + strings.Join(header, "\r\n") + "\r\n\r\n" + body + "\r\n"
}

// forms are bodies of the type multipart/form-data as ordinary clients write them, by what they hold.
var forms = []struct{ name, body string }{
	{"a JSON part with its type", part(`{"wagon":7,"price":120}`, `Content-Disposition: form-data; name="booking"`, "Content-Type: application/json")},
	{"a file before a field", part("%PDF-1.4 note", `Content-Disposition: form-data; name="note"; filename="note.pdf"`, "Content-Type: application/pdf") +
		part("confirm", `Content-Disposition: form-data; name="action"`)},
	{"a text part with a character set", part("Эрдэнэт", `Content-Disposition: form-data; name="station"`, "Content-Type: text/plain; charset=utf-8")},
	{"fields in an order", part("1", `Content-Disposition: form-data; name="first"`) + part("2", `Content-Disposition: form-data; name="second"`) +
		part("3", `Content-Disposition: form-data; name="third"`) + part("4", `Content-Disposition: form-data; name="fourth"`)},
}

// playMultipart sends forms, each at each instance. Without the disruption the same bytes go under another content type.
func playMultipart(s *site, trouble bool) (verdict, error) {
	servers, err := s.startServers(deskWork)
	if err != nil {
		return verdict{}, err
	}
	if err := s.startInstances(); err != nil {
		return verdict{}, err
	}
	contentType := "application/octet-stream"
	if trouble {
		contentType = "multipart/form-data; boundary=" + boundary
	}
	sent, changed, last := 0, 0, ""
	for n, i := range s.instances {
		c := &caller{addr: i.callers}
		for k, f := range forms {
			r := &request{
				id: fmt.Sprintf("form-%d-%d", n, k), method: http.MethodPost, path: oncePath + "booking",
				headers: []string{"Content-Type: " + contentType}, body: f.body + "--" + boundary + "--\r\n",
			}
			s.out.line("%s sent to %s as %s: %s\n%s", r.id, i.name, contentType, f.name, r.body)
			a := c.do(r)
			s.out.line("%s: status %d, sealed %t, error %v", r.id, a.status, a.sealed, a.err)
			sent++
			for _, run := range runsOf(servers, r.id) {
				if run.body != r.body || run.method != r.method || run.target != r.path {
					changed++
					last = fmt.Sprintf("%s (%s)", r.id, f.name)
					s.out.line("%s was run with a changed body:\n%s", r.id, run.body)
				}
			}
		}
		c.close()
	}
	if changed > 0 {
		return verdict{broken: true, text: fmt.Sprintf("UNASKED: %d of %d requests ran with a body that no client sent; the last: %s", changed, sent, last)}, nil
	}
	return verdict{text: fmt.Sprintf("%d requests ran as they were sent", sent)}, nil
}
