package config

// Keys names the files by which the instance proves who it is.
type Keys struct {
	// Authority is the certificate that signs those of instances and operators.
	Authority string `yaml:"authority" validate:"required"`
	// Certificate is the instance's own certificate.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the private key of the certificate.
	Key string `yaml:"key" validate:"required"`
	// CallersTLS makes the callers' API speak TLS with the instance's certificate.
	CallersTLS bool `yaml:"callers_tls"`
}
