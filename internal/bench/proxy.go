package bench

import (
	"fmt"
	"net"

	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type proxyCommand struct {
	Network string `long:"network" env:"SAILBENCH_NETWORK" description:"tcp or udp" default:"tcp"`
	Listen  string `long:"listen" env:"SAILBENCH_LISTEN" description:"address, host:port; port 0 picks a free one" default:"127.0.0.1:0"`
	Target  string `long:"target" env:"SAILBENCH_TARGET" description:"address to forward traffic to, host:port" required:"yes"`
	Control string `long:"control" env:"SAILBENCH_CONTROL" description:"address of the API that sets faults: PUT and GET /faults, POST /silence, POST /cut, GET /counts" default:"127.0.0.1:0"`
}

// Execute implements flags.Commander.
func (cmd *proxyCommand) Execute(_ []string) error {
	if cmd.Network != "tcp" && cmd.Network != "udp" {
		return tool.Usage(fmt.Errorf("bench: --network is %q; give tcp or udp", cmd.Network))
	}
	for flag, address := range map[string]string{"listen": cmd.Listen, "target": cmd.Target, "control": cmd.Control} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return tool.Usage(fmt.Errorf("bench: --%s is %q; give host:port", flag, address))
		}
	}
	proxy, err := fault.New(cmd.Network, cmd.Listen, cmd.Target)
	if err != nil {
		return fmt.Errorf("bench: --listen %s cannot be used; choose a free address: %w", cmd.Listen, err)
	}
	fmt.Print(proxy.Address, " ")
	return serve(cmd.Control, proxy.Control(), func(string) error { return nil }, proxy.Run)
}
