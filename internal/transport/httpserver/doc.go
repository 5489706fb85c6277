// Package httpserver serves HTTP/1.1 and makes HTTP requests, both on nbio's event
// loops.
package httpserver
