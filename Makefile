GO ?= go
PROGRAMS = hemlockd hemlockctl hemlock-standin

.PHONY: build demo test lint fuzz

build:
	$(GO) build -o bin/ $(addprefix ./cmd/,$(PROGRAMS))

# Starts a small fleet on loopback, checks its main functions and stops it.
demo: build
	./scripts/demo.sh

# The tests listed in KNOWN-RED.txt are known to fail; they are printed and skipped.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_\/]*\):.*/^\1$$/; T; s/\//$$\/^/; p' KNOWN-RED.txt 2>/dev/null | paste -s -d '|' -)

# The failure tests run after all others, since concurrent tests delay their
# processes beyond the time limits of the scripts. The crowd tests run last, one at a
# time, since they load the machine.
FAILURE = ./internal/host/failure
CROWD = ./platform ./internal/host/crowd
TEST = $(GO) test -race -timeout 600s
SKIP = $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
SKIP_CROWD = -skip '^TestCrowd$(if $(KNOWN_RED),|$(KNOWN_RED))'

test:
	@cat KNOWN-RED.txt 2>/dev/null || true
	$(TEST) $(SKIP_CROWD) $$($(GO) list ./... | grep -v '$(FAILURE:.%=%)$$')
	$(TEST) $(SKIP) $(FAILURE) -failure.logs $(CURDIR)/target/failure-logs
	$(TEST) $(SKIP) -p 1 -run '^TestCrowd' $(CROWD)

# Fuzzes the parsers of callers' heads, chunks, bodies and prompts, and of responses.
FUZZTIME ?= 5s
FUZZ = $(GO) test -run '^$$' -fuzzminimizetime 1x -fuzztime $(FUZZTIME)
fuzz:
	$(FUZZ) -fuzz FuzzConnection ./internal/caller/httpserver
	$(FUZZ) -fuzz FuzzReadBody ./internal/caller/intake
	$(FUZZ) -fuzz FuzzParsePrompt ./platform
	$(FUZZ) -fuzz FuzzReadResponse ./internal/upstream/http1wire

lint:
	test -z "$$(gofumpt -l . | tee /dev/stderr)"
	$(GO) vet ./...
	revive -config revive.toml -formatter friendly ./...
