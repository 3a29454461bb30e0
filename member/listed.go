package member

// PathInstances is the path of the platform's instance list.
const PathInstances = "/instances"

// Role is the role of an instance in the fleet.
type Role string

// Roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Role    Role   `json:"role"`
	Leaving bool   `json:"leaving"`
}
