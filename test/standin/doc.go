// Package standin simulates the environment of a fleet of the product's
// processes in an end-to-end run: database instances with replication, the
// platform that promotes them and hands out ready proxies, callers that keep a
// history of their requests, and TCP relays whose links can be blocked, slowed
// and reset.
//
// The types with JSON tags are files of a run or bodies of calls. The product
// and stored histories use the same keys.
package standin
