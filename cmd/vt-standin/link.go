package main

import (
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/verbenatrail/verbenatrail/internal/standin/link"
)

func newLinkCommand() *cobra.Command {
	var listen, admin string
	var cfg link.Config
	cmd := &cobra.Command{
		Use:   "link",
		Short: "Proxy in front of one process that adds delay and faults to TCP and UDP",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			server := link.New(cfg)
			address, err := server.Listen(listen)
			if err != nil {
				return err
			}
			defer server.Close()
			logrus.WithFields(logrus.Fields{"link": address, "target": cfg.Target}).Info("relaying")
			return serve("link", admin, server)
		},
	}
	addListenFlag(cmd, &listen)
	flags := cmd.Flags()
	flags.StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the admin API")
	flags.StringVar(&cfg.Target, "target", "", "IP address and port to relay to")
	flags.DurationVar(&cfg.Delay, "delay", 0, "one-way delay")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "random seed that selects the dropped datagrams")
	_ = cmd.MarkFlagRequired("target")
	return cmd
}
