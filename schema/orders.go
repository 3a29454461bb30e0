package schema

// The instance has the right to give orders.
type leadershipGained struct {
	_ struct{} `msg:"gives orders" level:"info"`
	// Name of this start of the instance.
	Holder string `log:"holder"`
	// The lease that the right hangs on.
	Lease int64 `log:"lease"`
}

// The right is over.
type leadershipLost struct {
	_ struct{} `msg:"no longer gives orders" level:"warning"`
	// Name of this start of the instance.
	Holder string `log:"holder"`
}

// The store did not give the right.
type leadershipNotAcquired struct {
	_ struct{} `msg:"right to give orders not taken" level:"warning"`
	failure
}

// The store did not let the right last for longer.
type leadershipNotRenewed struct {
	_ struct{} `msg:"right to give orders not renewed" level:"warning"`
	failure
}

// The store did not take the right back.
type leadershipNotReleased struct {
	_ struct{} `msg:"right to give orders not given back, it ends by itself" level:"warning"`
	failure
}

// A server of a platform took an order.
type orderGiven struct {
	_ struct{} `msg:"order given" level:"info"`
	order
}

// A model engine of today's interface took an order.
type orderGivenJxdRun struct {
	_ struct{} `msg:"order given" level:"info"`
	engineOrder
}

// A model engine of today's interface did not take an order.
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

// A server does not hold what it was ordered to.
type orderWithoutEffect struct {
	_ struct{} `msg:"order had no effect" level:"warning"`
	// Id of the backend server.
	Server string `log:"server"`
	// The layers that it was ordered to hold.
	Layers string `log:"layers"`
	// The layers that it holds.
	Holds string `log:"holds"`
	// The orders that it has taken.
	Orders int64 `log:"orders"`
}

// What is known of the holders of a model, after a change; the whole fleet has no domain.
type coverage struct {
	_ struct{} `msg:"coverage" level:"info"`
	// The model.
	Model string `log:"model"`
	// The domain, empty for the whole fleet.
	OfDomain string `log:"of_domain"`
	// Layers without a holder.
	Missing int64 `log:"missing"`
	// The least number of sequences that the holders of a layer have memory for.
	Room int64 `log:"room"`
	// Servers of the domain.
	Servers int64 `log:"servers"`
	// Those that hold nothing.
	Empty int64 `log:"empty"`
	// Orders that do not show yet.
	OrdersUnderWay int64 `log:"orders_under_way"`
}

// The servers of a domain cannot hold a whole model with the usual room for sequences.
type domainTooSmall struct {
	_ struct{} `msg:"domain too small for a copy of the model with the usual room" level:"warning"`
	// The model.
	Model string `log:"model"`
	// The domain.
	OfDomain string `log:"of_domain"`
	// Servers of the domain.
	Servers int64 `log:"servers"`
	// Layers for which there is no memory.
	ShortLayers int64 `log:"short_layers"`
	// That memory, in megabytes.
	ShortMB int64 `log:"short_mb"`
}
