// Package loglimit limits the rate of log lines, so that what happens many times a second fills no log.
package loglimit
