// Package admission decides which requests for a service are admitted while its room is short: the most urgent ranks first, and,
// if switched on, fairly among the client accounts of one rank. The room of a service is the number of streams for which its
// servers have memory. Each instance decides alone, from totals of the load on the service. The package reads no clock, takes no
// locks and does no I/O.
package admission
