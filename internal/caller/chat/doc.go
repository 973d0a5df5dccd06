// Package chat serves the chat-completions API to callers. It validates
// requests, acquires admission, streams or aggregates engine responses, retries
// failed attempts while nothing has been sent to the caller, and reports
// whether a failed request was executed.
package chat
