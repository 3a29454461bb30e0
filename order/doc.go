// Package order brings the backend servers of a failure domain to what the plan says they hold. One leader gives the
// orders; its fence is the revision at which its lease record was created.
package order
