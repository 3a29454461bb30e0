// Package catalog holds the configuration of a hosted fleet as the request path uses it: routes, services, client accounts
// and limits. A Catalog never changes after it was built.
package catalog
