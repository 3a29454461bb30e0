// Package headtest has a server that gives one answer, for the tests of all that reads answers over HTTP.
package headtest
