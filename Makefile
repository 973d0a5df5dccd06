GO ?= go
PROGRAMS = hemlockd hemlockctl hemlock-standin

.PHONY: build demo test lint

build:
	$(GO) build -o bin/ $(addprefix ./cmd/,$(PROGRAMS))

# Starts a small fleet on loopback, checks its main functions and stops it.
demo: build
	./scripts/demo.sh

# The tests listed in KNOWN-RED.txt are known to fail; they are printed and skipped.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_\/]*\):.*/^\1$$/; T; s/\//$$\/^/; p' KNOWN-RED.txt 2>/dev/null | paste -s -d '|' -)

# The failure tests run after all others, since concurrent tests delay their
# processes beyond the time limits of the scripts.
FAILURE = ./internal/host/failure
TEST = $(GO) test -race -timeout 600s $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

test:
	@cat KNOWN-RED.txt 2>/dev/null || true
	$(TEST) $$($(GO) list ./... | grep -v '$(FAILURE:.%=%)$$')
	$(TEST) $(FAILURE) -failure.logs $(CURDIR)/target/failure-logs

lint:
	test -z "$$(gofumpt -l . | tee /dev/stderr)"
	$(GO) vet ./...
	revive -config revive.toml -formatter friendly ./...
