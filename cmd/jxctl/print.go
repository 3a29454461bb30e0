package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// show prints a value as indented JSON.
func show(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printLines(title string, lines []string) {
	fmt.Println(title)
	for _, l := range lines {
		fmt.Println("  " + l)
	}
}
