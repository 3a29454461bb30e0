package relay

import (
	"context"

	"junctioncross/link"
)

// peers asks other instances; its errors are those of package link.
type peers interface {
	// poll asks the relay at addr for news.
	poll(ctx context.Context, addr string, p poll) (told, error)
	// roll asks the relay at addr who there is.
	roll(ctx context.Context, addr string, q rollAsked) (rollTold, error)
	// reach connects to the instance at addr unless it is connected already.
	reach(ctx context.Context, addr string) error
}

// linked asks over the instance's own connections; it implements peers.
type linked struct{ client *link.Client }

func (l linked) poll(ctx context.Context, addr string, p poll) (told, error) {
	return link.Call[poll, told](ctx, l.client, addr, link.KindFollow, p)
}

func (l linked) roll(ctx context.Context, addr string, q rollAsked) (rollTold, error) {
	return link.Call[rollAsked, rollTold](ctx, l.client, addr, link.KindRoll, q)
}

func (l linked) reach(ctx context.Context, addr string) error { return l.client.Reach(ctx, addr) }
