package config

// Log defines what is logged.
type Log struct {
	// Level is the lowest severity that is logged.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

func defaultLog() Log { return Log{Level: "info"} }
