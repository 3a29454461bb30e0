// Package relay lets one instance in each failure domain, the relay, watch the platform's store for all others of the domain:
// it follows the store itself and passes the updates on over QUIC. Every instance can take over as relay at once, since
// positions in a feed are the store's own revisions. An instance whose relays fail asks the store itself.
package relay
