// Package strict decodes YAML into settings types and reports every mistake at once, each with file, line and key.
package strict
