// Package strict decodes YAML into structs and reports all mistakes at once, each with file, line and key.
package strict
