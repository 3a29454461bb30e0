// Package keys makes and loads the certificates by which instances and operators know each other.
package keys
