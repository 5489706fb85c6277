// Package proposal has two kinds of majority vote among the control nodes.
//
// Single-decree Paxos settles one value for good: a Proposer collects promises for a
// Number and then acceptances of a value, and each voter is an Acceptor. Package
// consensus settles the record of each epoch with it.
//
// Elections fill singleton roles for a bounded time: a Candidate asks for votes, and
// each voter's Grantor gives one at a time, which lapses unless it is renewed. Package
// singleton fills its roles with them.
package proposal
