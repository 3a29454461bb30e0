// Package quarantine keeps requests away from servers after several servers have terminated while they ran them, or while they
// ran other requests with the same part of a prompt. It records which servers terminated under which requests, as observed by all
// instances, decides which requests are sent to no server any more, and publishes the records. The decision itself makes no calls
// and reads no clock.
package quarantine
