// Package engine is a fake model engine. It has streamed completions that are a
// pure function of the messages, a prefix cache, cold starts, load reports,
// cache events, resume, cancel and updates of the serving configuration.
// POST /faults injects faults.
package engine
