// Package keys issues and loads the certificates by which instances and operators authenticate to each other.
package keys
