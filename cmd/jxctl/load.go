package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/loadview"
	"junctioncross/once"
)

const (
	// maxLoadCalls is the number of instances that are asked at once.
	maxLoadCalls = 16
	// minWatchPeriod is the shortest period in which instances are asked again.
	minWatchPeriod = 200 * time.Millisecond
)

// errNoLoad is the error for instances of which none gave a page.
var errNoLoad = errors.New("jxctl: no instance answered")

// loadCommand shows the load that instances know of.
type loadCommand struct {
	Addresses []string      `arg:"" name:"addr" help:"Addresses of the metrics listeners (listen.metrics) of instances, IP number and port."`
	Service   string        `help:"Show this service only."`
	Watch     time.Duration `help:"Ask again and again, with this period between two answers (at least 0.2 s)."`
	Timeout   time.Duration `default:"2s" help:"How long an instance may take to answer."`
	JSON      bool          `help:"Print JSON."`
}

// Run prints what the instances know of the load on their services.
func (l *loadCommand) Run() error {
	if l.Timeout <= 0 {
		return errors.Errorf("jxctl: timeout %s: accepted: more than 0", l.Timeout)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if l.Watch == 0 {
		return l.show(ctx, os.Stdout)
	}
	return l.watch(ctx, os.Stdout)
}

// watch shows the load until ctx ends. Instances that do not answer are asked again.
func (l *loadCommand) watch(ctx context.Context, out io.Writer) error {
	ticks := time.NewTicker(max(l.Watch, minWatchPeriod))
	defer ticks.Stop()
	for {
		if err := l.show(ctx, out); err != nil && !errors.Is(err, errNoLoad) {
			return err
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// show asks all instances once and prints what they say.
func (l *loadCommand) show(ctx context.Context, out io.Writer) error {
	fleet := l.ask(ctx)
	if l.Service != "" {
		fleet = fleet.Only(l.Service)
	}
	var text bytes.Buffer
	if err := l.write(&text, &fleet); err != nil {
		return err
	}
	if _, err := out.Write(text.Bytes()); err != nil {
		return errors.Wrap(err, "jxctl: print load")
	}
	if fleet.Answered == 0 {
		return errNoLoad
	}
	return nil
}

// write writes what the instances say, as JSON or as tables.
func (l *loadCommand) write(out *bytes.Buffer, fleet *loadview.Fleet) error {
	if l.JSON {
		return writeJSON(out, fleet)
	}
	if l.Watch > 0 {
		fmt.Fprintln(out, time.Now().Format(time.TimeOnly))
	}
	return writeLoad(out, fleet)
}

// ask asks all instances, some at a time, and merges their pages.
func (l *loadCommand) ask(ctx context.Context) loadview.Fleet {
	client := once.NewClient(l.Timeout)
	client.MaxResponseBodySize = loadview.MaxPageBytes
	addresses := slices.Compact(slices.Sorted(slices.Values(l.Addresses)))
	results := make([]fetched, len(addresses))
	var all sync.WaitGroup
	free := make(chan struct{}, maxLoadCalls)
	for i, addr := range addresses {
		free <- struct{}{}
		all.Go(func() {
			results[i] = l.fetchLoad(ctx, client, addr)
			<-free
		})
	}
	all.Wait()
	var answered []loadview.Page
	var failed []loadview.Failure
	for i, addr := range addresses {
		if results[i].fault != nil {
			failed = append(failed, loadview.Failure{Address: addr, Error: results[i].fault.Error()})
			continue
		}
		answered = append(answered, results[i].page)
	}
	return loadview.Merge(answered, failed)
}

// fetched is the page of an instance, or why there is none.
type fetched struct {
	page  loadview.Page
	fault error
}

// fetchLoad reads the page of one instance. It returns as soon as ctx ends; the call itself goes on until its timeout.
func (l *loadCommand) fetchLoad(ctx context.Context, client *fasthttp.Client, addr string) fetched {
	answers := make(chan fetched, 1)
	go func() { answers <- l.readPage(client, addr) }()
	select {
	case f := <-answers:
		return f
	case <-ctx.Done():
		return fetched{fault: ctx.Err()}
	}
}

func (l *loadCommand) readPage(client *fasthttp.Client, addr string) fetched {
	status, body, err := client.GetTimeout(nil, "http://"+strings.TrimPrefix(addr, "http://")+"/load", l.Timeout)
	if err != nil {
		return fetched{fault: errors.Wrap(err, "jxctl: ask")}
	}
	if status != fasthttp.StatusOK {
		return fetched{fault: errors.Errorf("jxctl: ask: status %d; is it the address of listen.metrics?", status)}
	}
	page, err := loadview.Parse(bytes.NewReader(body))
	return fetched{page: page, fault: err}
}
