// Package relay lets a few instances watch the platform's store for all: one in each failure domain follows the store itself
// and passes on what it hears over QUIC. Every instance can take over at once, since positions are the store's own revisions,
// and an instance whose relays fail asks the store itself.
package relay
