package main

import (
	"context"
	"net/netip"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/standin/load"
)

func addLoad(ctx context.Context, a *kingpin.Application) {
	c := a.Command("load", "Request streamed answers at a fixed rate and print counts and latencies.")
	var o load.Options
	servers := c.Flag("server", "Address of a daemon or an engine; may be given more than once.").Required().Strings()
	keyFile := c.Flag("key-file", "File with the key.").String()
	c.Flag("direct", "Send requests to engines, bypassing the daemons.").BoolVar(&o.Direct)
	c.Flag("pool", "Pool of model engines.").StringVar((*string)(&o.Pool))
	c.Flag("max-tokens", "Number of tokens per answer.").Default("215").IntVar(&o.MaxTokens)
	c.Flag("rate", "Requests started per second.").Default("10").Float64Var(&o.Rate)
	c.Flag("count", "Total number of requests.").Default("100").IntVar(&o.Count)
	c.Action(func(*kingpin.ParseContext) error {
		if *keyFile != "" {
			k, err := os.ReadFile(*keyFile)
			if err != nil {
				return errors.Wrap(err, "load")
			}
			o.Key = strings.TrimSpace(string(k))
		}
		for _, s := range *servers {
			p, err := netip.ParseAddrPort(s)
			if err != nil {
				return errors.Wrap(err, "load")
			}
			o.Servers = append(o.Servers, p)
		}
		r, err := load.Run(ctx, o)
		if err != nil {
			return err
		}
		return r.Write(os.Stdout)
	})
}
