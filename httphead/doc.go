// Package httphead reads the heads of HTTP/1 responses.
//
// The HTTP library mends heads that break RFC 9112: it takes status 000 for 200, joins lines and takes blanks off names. What it returns does not
// show that, so this package checks the bytes of a head before the library reads them. All that reads responses reads their heads here.
package httphead
