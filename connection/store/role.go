package store

// Role is the purpose of a call. Each role has its own share of the call budget;
// roles are ordered by priority, the most urgent first.
type Role int

// Roles by falling priority.
const (
	// RoleClaims takes and releases ownership; without it no daemon can schedule.
	RoleClaims Role = iota
	// RoleVersions reads and applies configuration.
	RoleVersions
	// RoleMembers registers daemons and renews their leases.
	RoleMembers
	// RoleIntents records non-idempotent work before it starts.
	RoleIntents
	// RoleProgress records the progress of jobs; its writes can be delayed and batched.
	RoleProgress

	roleCount int = iota
)

var roleNames = [roleCount]string{"claims", "versions", "members", "intents", "progress"}

// String returns the name used in metrics and settings.
func (r Role) String() string {
	if r < 0 || int(r) >= roleCount {
		return "unknown"
	}
	return roleNames[r]
}
