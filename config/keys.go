package config

// Keys names the files with which the instance authenticates itself.
type Keys struct {
	// Authority is the certificate of the authority that signs the certificates of instances and operators.
	Authority string `yaml:"authority" validate:"required"`
	// Certificate is the instance's own certificate.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the private key of the certificate.
	Key string `yaml:"key" validate:"required"`
	// CallersTLS enables TLS for the callers' API, with the instance's certificate.
	CallersTLS bool `yaml:"callers_tls"`
}
