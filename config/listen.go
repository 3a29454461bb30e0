package config

// Listen holds the addresses that the instance answers on.
type Listen struct {
	// Callers is the IP number and port of the callers' HTTP API.
	Callers string `yaml:"callers" validate:"ipport"`
	// Operators is the IP number and port of the operators' API, with mutual TLS.
	Operators string `yaml:"operators" validate:"ipport"`
	// Peers is the IP number and UDP port for other instances.
	Peers string `yaml:"peers" validate:"ipport"`
	// Advertised is the address under which other instances reach Peers, when that differs.
	Advertised string `yaml:"advertised" validate:"omitempty,ipport"`
	// Health is the IP number and port of health checks and metrics.
	Health string `yaml:"health" validate:"ipport"`
}
