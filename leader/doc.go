// Package leader gives orders to chained engines on behalf of the whole fleet: one instance holds a lease and brings the
// servers nearer to what package placement wants. Two leaders at once do no harm, since every order names the number of
// orders that its server is known to have taken.
package leader
