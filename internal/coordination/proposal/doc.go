// Package proposal implements two kinds of majority vote among the control nodes.
//
// Single-decree Paxos decides one value permanently: a Proposer collects promises for a
// Number and then acceptances of a value, and each voter is an Acceptor. Package
// consensus uses it to decide the record of each epoch.
//
// Elections assign singleton roles for a limited time: a Candidate requests votes, and
// each voter's Grantor grants one vote per role at a time, which expires unless it is
// renewed. Package singleton uses elections to assign its roles.
package proposal
