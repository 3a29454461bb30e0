// Package leader places the layers of chained engines on behalf of the whole fleet: one instance, elected by a lock under a
// lease, orders servers to load layers until they hold what package placement wants. Two leaders at the same time do no
// harm: every order names the number of orders that its server is known to have taken, and the server refuses it if that
// number is wrong.
package leader
