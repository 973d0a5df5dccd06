package daemon

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// rpcService implements the RPC service for other routers. Requests that arrive at
// this router call it directly, without a connection.
type rpcService struct{ d *Daemon }

// Acquire admits a request at an upstream that this router owns.
func (s rpcService) Acquire(ctx context.Context, r *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	d := s.d
	version := d.ConfigVersion()
	if r.ConfigVersion > version {
		// The newer version may take a failure domain out of service, so nothing is
		// admitted under the older one.
		if address := d.routerAddress(r.Router); address != "" {
			_ = d.fetchConfig(ctx, address, r.ConfigVersion)
		}
		if version = d.ConfigVersion(); r.ConfigVersion > version {
			return staleConfigResponse(version), nil
		}
	}
	if !d.members.Fresh(time.Now()) {
		return staleConfigResponse(version), nil
	}
	resp := d.ownerTable.Acquire(ctx, time.Now(), r)
	// The request may have been queued for longer than the freshness limit.
	if now := time.Now(); resp.Outcome == rpc.Outcome_OUTCOME_GRANTED && !d.members.Fresh(now) {
		d.ownerTable.Sync(now, &rpc.SyncRequest{Releases: []*rpc.Release{{Upstream: r.Upstream, Id: resp.Grant, Fencing: resp.Fencing}}})
		return staleConfigResponse(version), nil
	}
	resp.ConfigVersion = version
	if resp.Reason == rpc.Reason_REASON_NOT_OWNER {
		resp.OwnerHint = s.ownerHint(r.Upstream)
	}
	return resp, nil
}

// staleConfigResponse refuses a request because version may not be the newest.
func staleConfigResponse(version uint64) *rpc.AcquireResponse {
	return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REFUSED, Reason: rpc.Reason_REASON_STALE_CONFIG, ConfigVersion: version}
}

// ownerHint returns the address of the presumed owner of an upstream, or "" if it
// is not known or is this router.
func (s rpcService) ownerHint(upstream string) string {
	id := s.d.claims.OwnerOf(upstream)
	if id == "" || id == s.d.settings.ID() {
		return ""
	}
	return s.d.routerAddress(id)
}

// Sync applies renewals, releases and placements from an entry router.
func (s rpcService) Sync(_ context.Context, r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	resp := s.d.ownerTable.Sync(time.Now(), r)
	resp.ConfigVersion = s.d.ConfigVersion()
	return resp, nil
}

// Exchange handles the heartbeat of a peer on the control goroutine.
func (s rpcService) Exchange(ctx context.Context, r *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	var resp *rpc.ExchangeResponse
	if err := s.d.callOnControl(ctx, func(now time.Time) { resp = s.d.members.HandleRequest(now, r) }); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if resp == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "request without identity from an unknown router")
	}
	return resp, nil
}

// Handover takes over an upstream from its draining owner.
func (s rpcService) Handover(ctx context.Context, r *rpc.HandoverRequest) (*rpc.HandoverResponse, error) {
	var accepted bool
	err := s.d.callOnControl(ctx, func(now time.Time) { accepted = s.d.acceptHandover(now, r) })
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rpc.HandoverResponse{Accepted: accepted}, nil
}

// FetchConfig returns the active configuration, or an error if it is older than the
// requested version.
func (s rpcService) FetchConfig(_ context.Context, r *rpc.FetchConfigRequest) (*rpc.FetchConfigResponse, error) {
	version, text := s.d.Config()
	if version < r.AtLeast {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this router has an older configuration")
	}
	return &rpc.FetchConfigResponse{Version: version, Document: text}, nil
}
