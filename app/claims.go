package app

import (
	"context"

	"github.com/pkg/errors"

	"junctioncross/claim"
	"junctioncross/config"
	"junctioncross/control"
	"junctioncross/keys"
	"junctioncross/kv"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/timer"
)

func newClaimLogs(
	settings *config.Settings, self control.Self, store kv.Store, clock *timer.Service, stats *metrics.Registry,
) *claim.Logs {
	return claim.NewLogs(store, clock, stats, self.Process(), settings.Limits.ClaimPartitions)
}

// newClaimer returns a router that has each claim decided by the instance that writes its partition, over the links between
// instances; it registers the handler that decides the claims of other instances here.
func newClaimer(logs *claim.Logs, loop *control.Loop, links *link.Client, mux *link.Mux, stats *metrics.Registry) claim.Claimer {
	link.Handle(mux, link.KindClaim, func(ctx context.Context, _ keys.Identity, c claim.Claim) (claim.Answer, error) {
		v, err := logs.Submit(ctx, c)
		return claim.ToAnswer(v), err
	})
	return claim.NewRouter(logs, loop, forwardClaim(links), stats)
}

func forwardClaim(links *link.Client) claim.Forward {
	return func(ctx context.Context, addr string, c claim.Claim) (claim.Verdict, bool, error) {
		a, err := link.Call[claim.Claim, claim.Answer](ctx, links, addr, link.KindClaim, c)
		if err != nil {
			return nil, !errors.Is(err, link.ErrUnreachable), err
		}
		v := a.Verdict()
		if v == nil {
			return nil, true, errors.New("app: unknown verdict")
		}
		return v, true, nil
	}
}
