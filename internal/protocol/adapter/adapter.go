// Package adapter holds the types by which the API of a platform is translated
// to the product's own, and the platform's calls are made.
package adapter

// Translation is one request of a platform as a call of the product.
type Translation struct {
	// Path and Body are those of the product's call.
	Path string
	Body []byte
	// Answer translates the HTTP status and the body of the product's answer back.
	// Where it is nil, the answer is left unchanged.
	Answer func(status int, body []byte) (int, []byte)
}

// TranslateFunc translates a request, or returns false for a request that is not
// of the platform's API.
type TranslateFunc func(method, path string, body []byte) (Translation, bool)

// Promotion is a call that asks a platform to make a replica the primary.
type Promotion struct {
	Database string
	Instance string
	// LeaseHolder is the control server that calls, FencingToken its token.
	LeaseHolder  string
	FencingToken uint64
}

// Request is an HTTP request to be sent.
type Request struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}
