// Package engine is the adapter to model engines: its wire types, the calls that gather frames for one backend server,
// load reports and orders.
package engine
