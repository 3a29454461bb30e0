package config

// Listen holds the addresses that the instance listens on.
type Listen struct {
	// Callers is the IP address and port of the callers' HTTP API.
	Callers string `yaml:"callers" validate:"ipport"`
	// Operators is the IP address and port of the operators' API, which uses mutual TLS.
	Operators string `yaml:"operators" validate:"ipport"`
	// Peers is the IP address and UDP port for other instances.
	Peers string `yaml:"peers" validate:"ipport"`
	// Advertised is the IP address and port at which other instances reach Peers, if different.
	Advertised string `yaml:"advertised" validate:"omitempty,ipport"`
	// Health is the IP address and port of health checks and metrics.
	Health string `yaml:"health" validate:"ipport"`
}
