// Command jxfake runs a fake of one of the systems that junctioncross works with: the key-value service, the platform's instance list,
// the weight store, model engines or a plain service.
package main

import (
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxBody is the largest request body, in bytes.
const maxBody = 64 << 20

type commands struct {
	KV      kvCommand      `cmd:"" name:"kv" help:"Run the key-value service."`
	List    listCommand    `cmd:"" help:"Run the platform's instance list."`
	Weights weightsCommand `cmd:"" help:"Run the weight store."`
	Engine  engineCommand  `cmd:"" help:"Run one model engine."`
	Service serviceCommand `cmd:"" help:"Run one plain service."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("jxfake"), kong.Description("Stand-ins for the systems that junctioncross meets."))
	ctx.FatalIfErrorf(ctx.Run())
}

// serve answers HTTP on addr until the process is told to stop.
func serve(addr string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: maxBody, Concurrency: 1 << 16}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		os.Exit(0)
	}()
	return errors.Wrap(server.Serve(listener), "serve")
}
