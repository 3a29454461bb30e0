package config

// Instance says which entry instance this process is.
type Instance struct {
	// Name is unique in the fleet.
	Name string `yaml:"name" validate:"required"`
	// Domain is the failure domain that the instance stands in.
	Domain string `yaml:"domain" validate:"required"`
}
