// Package link carries typed calls between instances over QUIC with mutual TLS.
package link
