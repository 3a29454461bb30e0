// Package admission decides which requests for a service are admitted while its room is short: the most urgent ranks first, and,
// if switched on, fairly among the client accounts of one rank. Each instance decides alone, from the totals of its failure
// domain. It reads no clock, takes no locks and does no I/O.
package admission
