// Package order makes the backend servers of a failure domain load the layers that the plan assigns to them. One leader gives
// the orders while it holds a lease in the key-value service. Each order carries a fencing token, the fence: the revision at
// which the leader's lease record was created. Servers that check it refuse the orders of former leaders.
package order
