// Package membership tells an instance how many instances there are. Each instance of a small fleet, and the strongest of each
// domain of a large one, keeps a registration record in the platform's store that expires soon after the instance has died;
// relays count the instances without a record. Limits that all instances share are divided by the number of instances.
package membership
