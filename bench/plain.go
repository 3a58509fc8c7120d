package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/plain"
	"github.com/galenalock/galenalock/bench/suite"
	"github.com/galenalock/galenalock/core/logs"
)

func init() {
	targets, prefix := "", "/tables"
	commands.Register(suite.Command{
		Name: "plain",
		Help: "Runs the naive proxy that entries are compared with until SIGTERM",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&targets, "", "targets", "Addresses of the targets, separated by commas")
			sub.String(&prefix, "", "prefix", "Prefix that is removed from paths")
		},
		Run: func(out io.Writer) error { return runPlain(targets, prefix, out) },
	})
}

func runPlain(targets, prefix string, out io.Writer) error {
	var addresses []netip.AddrPort
	for part := range strings.SplitSeq(targets, ",") {
		address, err := netip.ParseAddrPort(part)
		if err != nil {
			return eris.Wrap(err, "parse addresses of targets")
		}
		addresses = append(addresses, address)
	}
	log, err := logs.New(out, "info", nil)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	proxy := plain.New(prefix, addresses)
	go proxy.Run(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plain/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = writeJSON(w, proxy.Counts()) // the client has closed the connection
	})
	mux.Handle("/", proxy)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for the naive proxy")
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // makes Serve return
	log.WithField("address", listener.Addr().String()).Info("ready")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve the naive proxy")
	}
	return nil
}
