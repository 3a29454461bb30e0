// Package models holds the small value types that the other packages share.
package models
