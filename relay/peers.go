package relay

import (
	"context"

	"junctioncross/link"
)

// peers calls other instances; its errors are those of package link.
type peers interface {
	// poll polls the relay at addr for updates of a feed.
	poll(ctx context.Context, addr string, p poll) (pollReply, error)
	// records requests the registration records from the relay at addr.
	records(ctx context.Context, addr string, q recordsRequest) (recordsReply, error)
	// totals requests the totals of its domain from the relay at addr.
	totals(ctx context.Context, addr string, q totalsRequest) (totalsReply, error)
	// connect connects to the instance at addr unless there is a connection already.
	connect(ctx context.Context, addr string) error
}

// linkPeers calls other instances over the connections of package link; it implements peers.
type linkPeers struct{ client *link.Client }

func (l linkPeers) poll(ctx context.Context, addr string, p poll) (pollReply, error) {
	return link.Call[poll, pollReply](ctx, l.client, addr, link.KindPoll, p)
}

func (l linkPeers) records(ctx context.Context, addr string, q recordsRequest) (recordsReply, error) {
	return link.Call[recordsRequest, recordsReply](ctx, l.client, addr, link.KindRecords, q)
}

func (l linkPeers) totals(ctx context.Context, addr string, q totalsRequest) (totalsReply, error) {
	return link.Call[totalsRequest, totalsReply](ctx, l.client, addr, link.KindTotals, q)
}

func (l linkPeers) connect(ctx context.Context, addr string) error {
	return l.client.Connect(ctx, addr)
}
