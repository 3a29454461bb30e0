package schema

// The instance has acquired the leader lock: it alone gives orders to servers.
type leadershipGained struct {
	_ struct{} `msg:"gives orders" level:"info"`
	// Name under which the instance holds the lock: its own name and the time at which its process started.
	Holder string `log:"holder"`
	// The lease that the leader lock is attached to.
	Lease int64 `log:"lease"`
}

// The instance has lost the leader lock or given it back.
type leadershipLost struct {
	_ struct{} `msg:"no longer gives orders" level:"warning"`
	// Name under which the instance holds the lock: its own name and the time at which its process started.
	Holder string `log:"holder"`
}

// A call to the store to acquire the leader lock failed.
type leadershipNotAcquired struct {
	_ struct{} `msg:"right to give orders not taken" level:"warning"`
	failure
}

// A call to the store to renew the lease of the leader lock failed.
type leadershipNotRenewed struct {
	_ struct{} `msg:"right to give orders not renewed" level:"warning"`
	failure
}

// A call to the store to release the leader lock failed; the lock ends when its lease expires.
type leadershipNotReleased struct {
	_ struct{} `msg:"right to give orders not given back, it ends by itself" level:"warning"`
	failure
}

// A backend server of a platform took an order (jxd serve).
type orderGiven struct {
	_ struct{} `msg:"order given" level:"info"`
	order
}

// A model engine took an order (jxd run).
type orderGivenJxdRun struct {
	_ struct{} `msg:"order given" level:"info"`
	engineOrder
}

// A model engine did not take an order (jxd run).
type orderFailed struct {
	_ struct{} `msg:"order failed" level:"warning"`
	engineOrder
	failure
}

// It is not known whether a server took an order.
type orderUnanswered struct {
	_ struct{} `msg:"order without an answer" level:"warning"`
	order
	failure
}

// A server did not take an order.
type orderRefused struct {
	_ struct{} `msg:"order refused" level:"warning"`
	order
	failure
}

// Orders were not sent: the server does not answer, is carrying out another order, or holds other layers than its entry. The
// line is about one of them; it is written at most once a second for each service.
type orderHeldBack struct {
	_ struct{} `msg:"order held back" level:"info"`
	// The server of the order.
	Server string `log:"server"`
	// The address of the server.
	Address string `log:"address"`
	// The layers that it would have been ordered to hold.
	Layers string `log:"layers"`
	// Why: silent, busy or outrun.
	Cause string `log:"cause"`
	// Number of orders held back since the last such line.
	Orders int64 `log:"orders"`
}

// A server took an order and does not hold the layers that it was ordered to.
type orderWithoutEffect struct {
	_ struct{} `msg:"order had no effect" level:"warning"`
	// Id of the backend server.
	Server string `log:"server"`
	// The layers that it was ordered to hold.
	Layers string `log:"layers"`
	// The layers that it holds.
	Holds string `log:"holds"`
	// Number of orders that it has taken.
	Orders int64 `log:"orders"`
}

// What is known of the servers that hold a model, for one domain or for the whole fleet; logged after a change.
type coverage struct {
	_ struct{} `msg:"coverage" level:"info"`
	// The model.
	Model string `log:"model"`
	// The domain; empty for the whole fleet.
	OfDomain string `log:"of_domain"`
	// Number of layers that no server holds.
	Missing int64 `log:"missing"`
	// Number of sequences that the servers of a layer have memory for, at the layer where it is lowest.
	Room int64 `log:"room"`
	// Number of servers of the domain.
	Servers int64 `log:"servers"`
	// Number of them that hold no layers.
	Empty int64 `log:"empty"`
	// Number of orders whose effect is not visible yet.
	OrdersUnderWay int64 `log:"orders_under_way"`
	// Number of sequences that each server should have memory for; 0 for the whole fleet.
	Wanted int64 `log:"wanted"`
	// Number of copies of the model that the servers should hold together.
	Copies float64 `log:"copies"`
	// Streams a second that are expected to be completed when the planned room is full; 0 if the costs are not known.
	Rate float64 `log:"rate"`
	// The same after the loss of the server, or of the domain of the fleet, whose loss costs most.
	AfterLoss float64 `log:"after_loss"`
}

// How much room the servers of a domain should leave beside the layers of a model, and what is expected of that; logged at the
// start of a term and after a change.
type layoutPlanned struct {
	_ struct{} `msg:"layout planned" level:"info"`
	// The model.
	Model string `log:"model"`
	// The domain.
	OfDomain string `log:"of_domain"`
	// Number of sequences that each server should have memory for.
	Sequences int64 `log:"sequences"`
	// Number of copies of the model that the servers hold together then.
	Copies float64 `log:"copies"`
	// Number of sequences that the servers of a layer have memory for then, at the layer where it is lowest.
	Room int64 `log:"room"`
	// Streams a second that are expected to be completed when this room is full; 0 if the costs are not known.
	Rate float64 `log:"rate"`
	// The same after the loss of the server whose loss costs most.
	AfterLoss float64 `log:"after_loss"`
	// Whether the domain has the usual number of sequences, since it is too small to be planned, the costs are not known or no
	// other number is expected to serve as much.
	Default bool `log:"default"`
}

// The servers of a domain cannot hold a complete copy of the model with the usual room for sequences.
type domainTooSmall struct {
	_ struct{} `msg:"domain too small for a copy of the model with the usual room" level:"warning"`
	// The model.
	Model string `log:"model"`
	// The domain.
	OfDomain string `log:"of_domain"`
	// Number of servers of the domain.
	Servers int64 `log:"servers"`
	// Number of layers for which there is no memory.
	ShortLayers int64 `log:"short_layers"`
	// Memory that these layers would need, in megabytes.
	ShortMB int64 `log:"short_mb"`
}
