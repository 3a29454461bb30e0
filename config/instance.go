package config

// Instance identifies the entry instance that this process is.
type Instance struct {
	// Name is the name of the instance, unique in the fleet.
	Name string `yaml:"name" validate:"required"`
	// Domain is the failure domain that the instance belongs to.
	Domain string `yaml:"domain" validate:"required"`
}
