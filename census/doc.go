// Package census tells an instance how many instances there are. Each keeps a record in the platform's store that ends with
// it; limits that all share are divided by the number of records.
package census
