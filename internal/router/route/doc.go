// Package route holds one version of the routing configuration: the routes of
// each virtual host, the services behind them, workspaces and their API keys,
// and the limits on what callers may send.
package route
