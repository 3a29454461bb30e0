// Package config reads and checks the settings of an entry instance.
package config
