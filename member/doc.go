// Package member holds the format of the platform's instance list. It also has the functions by which instances that know the
// same members agree, without asking each other, on who is responsible for a subject and who exchanges updates with whom.
package member
