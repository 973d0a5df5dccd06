package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
)

const (
	// maxConnections bounds the concurrent connections to routers.
	maxConnections = 256
	// attemptTimeout bounds one request, so that a router that does not respond
	// is tried again and does not keep a connection slot from other routers.
	attemptTimeout = time.Second
	// attemptDelay is the delay between attempts to push to one router.
	attemptDelay = 200 * time.Millisecond
	// maxResponseBytes bounds a router's response in bytes.
	maxResponseBytes = 8 << 20
)

// errNoAddress reports a router without an operators' address in the host list.
var errNoAddress = errors.New("the host list does not state its operators' address")

// statusError reports a response with a status other than 200.
type statusError struct {
	status int
	text   []byte
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// router is a router and the IP address and port of its operators' endpoint.
type router struct{ id, address, failureDomain, region string }

// listedRouters returns the routers of the host list. Routers without an
// operators' address are included and count as unable to confirm a change.
func listedRouters(list *hosts.List) []router {
	var all []router
	for _, h := range list.Routers() {
		all = append(all, router{h.ID(), h.OperatorsAddress(), h.FailureDomain(), h.Region()})
	}
	return all
}

// routerResponse is the response body of one router, or the error of the
// request.
type routerResponse struct {
	router router
	body   []byte
	err    error
}

// routerClient sends requests to the operators' endpoints of routers.
type routerClient struct {
	client    *http.Client
	semaphore chan struct{}
}

func newRouterClient() *routerClient {
	return &routerClient{&http.Client{Transport: http1wire.Strict(&http.Transport{DisableKeepAlives: true})}, make(chan struct{}, maxConnections)}
}

// fanOut runs call for all routers concurrently and passes the responses to
// handle one at a time, in order of arrival.
func (r *routerClient) fanOut(targets []router, call func(router) routerResponse, handle func(routerResponse)) {
	responses := make(chan routerResponse)
	for _, t := range targets {
		go func() { responses <- call(t) }()
	}
	for range targets {
		handle(<-responses)
	}
}

// send makes one request to a router's operators' endpoint and returns the
// response body.
func (r *routerClient) send(ctx context.Context, target router, method, path string, body []byte) ([]byte, error) {
	if target.address == "" {
		return nil, errNoAddress
	}
	select {
	case r.semaphore <- struct{}{}:
		defer func() { <-r.semaphore }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = &statusError{response.StatusCode, bytes.TrimSpace(text)}
	}
	return text, err
}

// confirmation is the response of a router to a pushed document. Version is the
// version that the router holds now.
type confirmation struct {
	Version uint64 `json:"version"`
}

// push sends the document to each router and retries until the router confirms
// this version or a later one, or until the timeout.
func (r *routerClient) push(ctx context.Context, timeout time.Duration, targets []router, d *fleetconfig.Document, handle func(routerResponse)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.fanOut(targets, func(t router) routerResponse {
		for {
			err := r.pushOnce(ctx, t, d)
			if err == nil || errors.Is(err, errNoAddress) {
				return routerResponse{router: t, err: err}
			}
			select {
			case <-ctx.Done():
				return routerResponse{router: t, err: err}
			case <-time.After(attemptDelay):
			}
		}
	}, handle)
}

func (r *routerClient) pushOnce(ctx context.Context, t router, d *fleetconfig.Document) error {
	text, err := r.send(ctx, t, http.MethodPut, "/config", d.Text())
	if err != nil {
		return err
	}
	var c confirmation
	if err := json.Unmarshal(text, &c); err != nil {
		return fmt.Errorf("confirmation: %w", err)
	}
	if c.Version < d.Version() {
		return fmt.Errorf("holds version %d", c.Version)
	}
	return nil
}

// getAll sends one GET request to each router and returns the responses ordered
// by router.
func (r *routerClient) getAll(ctx context.Context, targets []router, path string, query url.Values) []routerResponse {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var responses []routerResponse
	r.fanOut(targets, func(t router) routerResponse {
		body, err := r.send(ctx, t, http.MethodGet, path, nil)
		return routerResponse{t, body, err}
	}, func(response routerResponse) { responses = append(responses, response) })
	slices.SortFunc(responses, compareResponses)
	return responses
}
