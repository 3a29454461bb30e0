// Command stand plays the cases of the review: it starts instances of junctioncross as processes of their own, with the start line and
// the settings template of the deploy file, and stands in for the platform, its backend servers and its callers. It exits with 1 if the
// rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main
