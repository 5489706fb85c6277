// Program stand runs one stand-in instance as a process of its own.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"tansyseam/test/standin"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: stand CONFIG.json")
		os.Exit(2)
	}
	data, err := os.ReadFile(os.Args[1])
	var config standin.InstanceConfig
	if err == nil {
		err = json.Unmarshal(data, &config)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := standin.RunInstance(ctx, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
