// Package catalog holds the configuration of a hosted fleet as the request path uses it: routes, services, client accounts
// and limits. A Catalog is immutable.
package catalog
