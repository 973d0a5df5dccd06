package main

// baseConfig is a configuration like that of a small deployment: an engine service for
// streams and a plain one for orders.
func baseConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "chat", "host": "app.example", "prefix": "/chat/", "kind": "stream", "timeout_ms": 10000, "goal_latency_ms": 500, "priority": 0, "service": "model", "max_attempts": 2, "public": false, "sticky": true, "can_resume": true, "gap_aim_ms": 300},
			map[string]any{"name": "digest", "host": "app.example", "prefix": "/chat/digest/", "kind": "stream", "timeout_ms": 2500, "goal_latency_ms": 800, "priority": 1, "service": "model", "max_attempts": 1, "public": false, "sticky": true, "can_resume": false, "gap_aim_ms": 300},
			map[string]any{"name": "order", "host": "app.example", "prefix": "/order/", "kind": "unsafe", "timeout_ms": 1500, "goal_latency_ms": 100, "priority": 1, "service": "desk", "max_attempts": 2, "public": false, "sticky": false, "can_resume": false},
			map[string]any{"name": "lookup", "host": "app.example", "prefix": "/lookup/", "kind": "safe", "timeout_ms": 1500, "goal_latency_ms": 100, "priority": 1, "service": "desk", "max_attempts": 2, "public": false, "sticky": false, "can_resume": false},
		},
		"services": []any{
			map[string]any{"name": "model", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 17.0, "engine": map[string]any{"slots": 64}},
			map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 17.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-one", "api_keys": []any{"key-one"}, "priority": 1}},
	}
}
