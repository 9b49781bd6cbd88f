package roster

// Role is the kind of process that a VM runs.
type Role string

// The roles of a VM.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Status says whether a VM stays in service or is about to leave it.
type Status string

// The statuses of a VM.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
)

// VM is one row of the platform's VM list.
type VM struct {
	name          string
	role          Role
	centre        string
	pool          string
	group         string
	callerAddress string
	peerAddress   string
	status        Status
}

// VMOption sets a field of a VM under construction.
type VMOption func(*VM)

// Centre sets the data centre that the VM is in.
func Centre(name string) VMOption { return func(v *VM) { v.centre = name } }

// Pool sets the pool that an endpoint belongs to.
func Pool(name string) VMOption { return func(v *VM) { v.pool = name } }

// Group sets the rank group that an endpoint belongs to.
func Group(name string) VMOption { return func(v *VM) { v.group = name } }

// CallerAddress sets the IP address and port at which callers reach an entry.
func CallerAddress(address string) VMOption { return func(v *VM) { v.callerAddress = address } }

// PeerAddress sets the IP address and port at which daemons reach the VM's process.
func PeerAddress(address string) VMOption { return func(v *VM) { v.peerAddress = address } }

// InStatus sets the VM's status in the list.
func InStatus(s Status) VMOption { return func(v *VM) { v.status = s } }

// NewVM returns a VM of the given name and role, live unless an option says otherwise.
func NewVM(name string, role Role, options ...VMOption) VM {
	v := VM{name: name, role: role, status: StatusLive}
	for _, option := range options {
		option(&v)
	}
	return v
}

// Name returns the VM's name.
func (v VM) Name() string { return v.name }

// Role returns the kind of process that the VM runs.
func (v VM) Role() Role { return v.role }

// Centre returns the data centre that the VM is in.
func (v VM) Centre() string { return v.centre }

// Pool returns the pool that an endpoint belongs to.
func (v VM) Pool() string { return v.pool }

// Group returns the rank group that an endpoint belongs to, empty if it belongs to none.
func (v VM) Group() string { return v.group }

// CallerAddress returns the IP address and port at which callers reach an entry.
func (v VM) CallerAddress() string { return v.callerAddress }

// PeerAddress returns the IP address and port at which daemons reach the VM's process.
func (v VM) PeerAddress() string { return v.peerAddress }

// Status returns the VM's status in the list.
func (v VM) Status() Status { return v.status }

// WithStatus returns the VM with another status.
func (v VM) WithStatus(s Status) VM {
	v.status = s
	return v
}
