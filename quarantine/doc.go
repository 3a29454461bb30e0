// Package quarantine keeps requests away from servers that have ended under them. It holds what servers ended under, as all
// instances tell it, and decides which requests are sent to no server any more; it knows no calls and no clock.
package quarantine
