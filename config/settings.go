package config

import (
	"os"

	"github.com/pkg/errors"

	"junctioncross/strict"
)

// Settings is the content of the settings file of jxd.
type Settings struct {
	Instance Instance `yaml:"instance"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Peers holds the addresses of instances to contact while no other instance is known, in addition to those in the platform's
	// list.
	Peers  []string `yaml:"peers" validate:"dive,ipport"`
	Keys   Keys     `yaml:"keys"`
	Limits Limits   `yaml:"limits"`
	Drain  Drain    `yaml:"drain"`
	Log    Log      `yaml:"log"`
}

// Default returns the defaults for settings that are missing in the file.
func Default() Settings {
	return Settings{Limits: defaultLimits(), Drain: defaultDrain(), Log: defaultLog()}
}

// Load reads and checks a settings file. The error lists all mistakes, each with file, line, key and the accepted values.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// load reads a file and parses it.
func load[T any](path string, parse func(name string, body []byte) (*T, error)) (*T, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "config: read settings")
	}
	return parse(path, body)
}

// Parse reads and checks settings in YAML; errors show name as the file name.
func Parse(name string, body []byte) (*Settings, error) {
	return decode(name, body, Default())
}

// decode reads settings in YAML; settings holds the defaults.
func decode[T any](name string, body []byte, settings T) (*T, error) {
	if err := strict.Decode(name, body, &settings); err != nil {
		return nil, err
	}
	return &settings, nil
}
