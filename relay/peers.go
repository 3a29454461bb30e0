package relay

import (
	"context"

	"junctioncross/link"
)

// peers calls other instances; its errors are those of package link.
type peers interface {
	// poll polls the relay at addr for updates of a feed.
	poll(ctx context.Context, addr string, p poll) (told, error)
	// roll requests the registration records from the relay at addr.
	roll(ctx context.Context, addr string, q rollAsked) (rollTold, error)
	// reach connects to the instance at addr unless there is a connection already.
	reach(ctx context.Context, addr string) error
}

// linked calls other instances over the connections of package link; it implements peers.
type linked struct{ client *link.Client }

func (l linked) poll(ctx context.Context, addr string, p poll) (told, error) {
	return link.Call[poll, told](ctx, l.client, addr, link.KindFollow, p)
}

func (l linked) roll(ctx context.Context, addr string, q rollAsked) (rollTold, error) {
	return link.Call[rollAsked, rollTold](ctx, l.client, addr, link.KindRoll, q)
}

func (l linked) reach(ctx context.Context, addr string) error { return l.client.Reach(ctx, addr) }
