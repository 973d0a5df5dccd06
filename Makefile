GO ?= go
PROGRAMS = hemlockd hemlockctl hemlock-standin

.PHONY: build demo test lint

build:
	$(GO) build -o bin/ $(addprefix ./cmd/,$(PROGRAMS))

# Starts a small fleet on loopback, checks the main job and stops it again.
demo: build
	./scripts/demo.sh

# Known red tests are printed and passed over; see KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_\/]*\):.*/^\1$$/; T; s/\//$$\/^/; p' KNOWN-RED.txt 2>/dev/null | paste -s -d '|' -)

# The fleets of the failure scripts run after all else, since tests beside them
# delay processes beyond the times that the scripts check.
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
