package config

// Platform holds the addresses of the platform's services.
type Platform struct {
	// KV is the IP number and port of the key-value service.
	KV string `yaml:"kv" validate:"ipport"`
	// Instances is the IP number and port of the instance list.
	Instances string `yaml:"instances" validate:"ipport"`
}
