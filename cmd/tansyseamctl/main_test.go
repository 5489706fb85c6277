package main

import (
	"testing"

	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/bootstrap"
	"tansyseam/internal/app/shell"
)

func TestParseArguments(t *testing.T) {
	for _, test := range []struct {
		name     string
		args     []string
		expected options
		err      error
	}{
		{"no query", []string{"--at", "127.0.0.1:2"}, options{address: "127.0.0.1:2"}, nil},
		{"a query", []string{"--at=127.0.0.1:2", "nodes"}, options{address: "127.0.0.1:2", query: "nodes"}, nil},
		{
			"a query with arguments, and JSON", []string{"-a", "[::1]:2", "-j", "why", "db"},
			options{address: "[::1]:2", asJSON: true, query: "why db"}, nil,
		},
		{"flags after the query", []string{"nodes", "--at", "127.0.0.1:2"}, options{address: "127.0.0.1:2", query: "nodes"}, nil},
		{"no address", []string{"nodes"}, options{}, errBadAddress},
		{"an address without a port", []string{"--at", "127.0.0.1", "nodes"}, options{address: "127.0.0.1"}, errBadAddress},
		{"a host name", []string{"--at", "localhost:2", "nodes"}, options{address: "localhost:2"}, errBadAddress},
	} {
		Convey("Arguments are parsed into options: "+test.name, t, func() {
			parsed, err := parseArguments(test.args)
			So(errors.Is(err, test.err), ShouldBeTrue)
			So(parsed, ShouldResemble, test.expected)
		})
	}
}

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		name     string
		err      error
		expected int
	}{
		{"no error", nil, bootstrap.ExitOK},
		{"a bad query", errors.WithType(errors.New("no query"), shell.ErrBadQuery), bootstrap.ExitBadConfig},
		{"a node not reached", errors.WithType(errors.New("refused"), shell.ErrUnreachable), bootstrap.ExitFailure},
		{"any other error", errors.New("other"), bootstrap.ExitFailure},
	} {
		Convey("The exit code distinguishes operators' mistakes from failures: "+test.name, t, func() {
			So(exitCode(test.err), ShouldEqual, test.expected)
		})
	}
	Convey("Invalid arguments have the exit code of a bad query", t, func() {
		So(execute([]string{"nodes"}), ShouldEqual, bootstrap.ExitBadConfig)
	})
}
