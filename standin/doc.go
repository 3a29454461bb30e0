// Package standin holds simple fakes of the systems that junctioncross works with, for tests, benchmarks and jxfake: the
// platform's key-value service, its instance list and weight store, model engines and plain services.
package standin
