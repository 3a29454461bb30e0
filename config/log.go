package config

// Log says what is logged.
type Log struct {
	// Level is the least severe level that is written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

func defaultLog() Log { return Log{Level: "info"} }
