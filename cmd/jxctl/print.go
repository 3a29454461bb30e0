package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// printJSON prints a value as indented JSON.
func printJSON(value any) error { return writeJSON(os.Stdout, value) }

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printLines prints a title and below it the lines, indented.
func printLines(title string, lines []string) {
	fmt.Println(title)
	for _, l := range lines {
		fmt.Println("  " + l)
	}
}
