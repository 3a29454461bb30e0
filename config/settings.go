package config

import (
	"os"

	"github.com/pkg/errors"

	"junctioncross/strict"
)

// Settings is the whole settings file of jxd.
type Settings struct {
	Instance Instance `yaml:"instance"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Peers holds addresses of instances to ask first, beside those of the platform's list.
	Peers  []string `yaml:"peers" validate:"dive,ipport"`
	Keys   Keys     `yaml:"keys"`
	Limits Limits   `yaml:"limits"`
	Drain  Drain    `yaml:"drain"`
	Log    Log      `yaml:"log"`
}

// Default returns the settings that hold where the file is silent.
func Default() Settings {
	return Settings{Limits: defaultLimits(), Drain: defaultDrain(), Log: defaultLog()}
}

// Load reads a file; the error lists every mistake with file, line, key and what is accepted.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// load reads a file and parses it.
func load[T any](path string, parse func(name string, body []byte) (*T, error)) (*T, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "config: read settings")
	}
	return parse(path, body)
}

// Parse reads settings from YAML; name stands for the file in errors.
func Parse(name string, body []byte) (*Settings, error) {
	return decode(name, body, Default())
}

// decode reads settings from YAML over those that hold where the file is silent.
func decode[T any](name string, body []byte, settings T) (*T, error) {
	if err := strict.Decode(name, body, &settings); err != nil {
		return nil, err
	}
	return &settings, nil
}
