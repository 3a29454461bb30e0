package config

// Platform holds the addresses of the platform's services.
type Platform struct {
	// KV is the IP address and port of the key-value service.
	KV string `yaml:"kv" validate:"ipport"`
	// Instances is the IP address and port of the service that lists the instances.
	Instances string `yaml:"instances" validate:"ipport"`
}
