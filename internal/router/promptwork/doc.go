// Package promptwork estimates how many tokens of prompts an engine has to read before
// it reads a new one, and how fast it reads. Package forward records the prompts that
// it sends and their first events, and asks for the estimates when it picks an engine;
// package edge exchanges notices of long prompts with peers. The package performs no
// I/O, and callers pass the time.
//
// It is designed for engines that read 30 to 92 tokens a ms, first come first served,
// between the tokens of up to 64 requests, and for prompts from some hundred tokens to
// some thousand, most of which are cached: a long prompt that is not cached delays
// those behind it by 100 to 300 ms. Up to some hundred routers send to the same
// engines, so that each sees only a small part of the prompts itself.
package promptwork
