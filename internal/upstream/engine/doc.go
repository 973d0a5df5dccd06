// Package engine is the client of model engines: streamed completions that can be
// resumed and cancelled, load reports, cache events, serving configurations and
// transfers of KV cache.
package engine
