package intent

// Change is one step of an intent; the types of this file are its only implementations.
type Change interface{ change() }

// AddModel adds a model or changes its version.
type AddModel struct{ Model }

// AddKind adds a kind of accelerator or changes its speed.
type AddKind struct{ Kind }

// AddGroup adds a group.
type AddGroup struct{ Group }

// AddAccount adds a client account or replaces it.
type AddAccount struct{ Account }

// RemoveAccount removes a client account.
type RemoveAccount struct {
	Name string `yaml:"name" validate:"required"`
}

// Grant lets a group use a model.
type Grant struct {
	Group string `yaml:"group" validate:"required"`
	Model string `yaml:"model" validate:"required"`
}

// Revoke withdraws a group's permission to use a model.
type Revoke struct {
	Group string `yaml:"group" validate:"required"`
	Model string `yaml:"model" validate:"required"`
}

// SetShare sets the weight of a group.
type SetShare struct {
	Group  string  `yaml:"group" validate:"required"`
	Weight float64 `yaml:"weight" validate:"gt=0"`
}

// AddBackend adds a backend server.
type AddBackend struct{ Backend }

// RetireBackend takes a backend server out of service.
type RetireBackend struct {
	Name string `yaml:"name" validate:"required"`
}

// AddService adds a plain service or replaces it.
type AddService struct{ Service }

// Rebalance drops the placement of all layers, so that the planner places them again.
type Rebalance struct {
	Confirmed bool `yaml:"confirmed"`
}

func (*AddModel) change()      {}
func (*AddKind) change()       {}
func (*AddGroup) change()      {}
func (*AddAccount) change()    {}
func (*RemoveAccount) change() {}
func (*Grant) change()         {}
func (*Revoke) change()        {}
func (*SetShare) change()      {}
func (*AddBackend) change()    {}
func (*RetireBackend) change() {}
func (*AddService) change()    {}
func (*Rebalance) change()     {}
