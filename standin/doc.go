// Package standin holds small replacements for the systems that junctioncross meets: the platform's key-value service,
// its instance list and weight store, model engines and plain services.
package standin
