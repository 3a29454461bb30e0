// Package explain reads the JSON log lines of many instances and prints, in order of time, the lines about one request with the
// cause of its outcome, or what one instance knew and did apart from requests. A belief is a line about something that an
// instance learned of the servers, the paths or the store.
package explain
