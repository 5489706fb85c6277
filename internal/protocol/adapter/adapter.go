// Package adapter says how calls of another manner of speaking are met: a
// Translation turns one into a call of the product and its answer back.
package adapter

// Translation is one request as a call of the product.
type Translation struct {
	// Path is that of the product's call.
	Path string
	Body []byte
	// Answer turns the product's answer back; nil leaves it as it is.
	Answer func(status int, body []byte) (int, []byte)
}

// Translate gives a request's translation, or false where it is none of that
// manner.
type TranslateFunc func(method, path string, body []byte) (Translation, bool)

// Promotion is the platform's one call that makes a replica the primary.
type Promotion struct {
	Database, Instance, LeaseHolder string
	FencingToken                    uint64
}

// Request is an HTTP request ready to be sent.
type Request struct {
	Method, Path string
	Header       map[string]string
	Body         []byte
}
