// Command stand2 plays the scripts of the second review: it starts jxd as the deploy file says, in front of small stand-ins of the platform's
// store, its plain services and its model replicas, all on loopback, and judges what they and the clients have seen.
package main
