// Package adapter defines the types used to translate calls of a platform's API to
// calls of the product's own API, and the types of the requests sent to a platform.
package adapter

// Translation is a platform's request translated to a call of the product's API.
type Translation struct {
	// Path and Body are the path and the body of the product's call.
	Path string
	Body []byte
	// Answer translates the HTTP status and the body of the product's answer to
	// those of the platform's API. If it is nil, the answer is sent unchanged.
	Answer func(status int, body []byte) (int, []byte)
}

// TranslateFunc translates a request. It returns false if the request is not part
// of the platform's API.
type TranslateFunc func(method, path string, body []byte) (Translation, bool)

// Promotion is a call that asks a platform to make a replica the primary.
type Promotion struct {
	Database string
	Instance string
	// LeaseHolder is the name of the control node that makes the call, and
	// FencingToken is the fencing token of the call.
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
