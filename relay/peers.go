package relay

import (
	"context"

	"junctioncross/link"
)

// peers asks other instances; its errors are those of package link.
type peers interface {
	// poll asks the relay at addr for news.
	poll(ctx context.Context, addr string, p poll) (told, error)
	// reach connects to the instance at addr unless it is connected already.
	reach(ctx context.Context, addr string) error
}

// linked asks over the instance's own connections; it implements peers.
type linked struct{ client *link.Client }

func (l linked) poll(ctx context.Context, addr string, p poll) (told, error) {
	return link.Call[poll, told](ctx, l.client, addr, link.KindFollow, p)
}

func (l linked) reach(ctx context.Context, addr string) error { return l.client.Reach(ctx, addr) }
