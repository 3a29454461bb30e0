// Package headtest has answers with broken heads for the tests of all that reads answers over HTTP.
package headtest
