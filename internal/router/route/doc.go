// Package route holds one version of the routing configuration: the routes of
// each virtual host, the services behind them, the workspaces with their API
// keys, and the limits on callers.
package route
