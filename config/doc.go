// Package config reads and checks the settings of an entry instance and generates their reference page.
package config
