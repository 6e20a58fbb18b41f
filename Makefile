# Targets: build, test, demo, faults, docs, policy, capacity, soak. Each stops by itself.
GO ?= go

.PHONY: build test lint race demo faults docs policy capacity soak clean

build:
	$(GO) build -o bin/ ./cmd/...

test: lint race

lint:
	@unformatted=$$(gofmt -l cmd internal platform); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

race:
	$(GO) run ./internal/tools/knownred -list KNOWN-RED.txt -- -race -count=1 -timeout 20m $$($(GO) list ./... | grep -v /internal/hostile)
	$(GO) run ./internal/tools/knownred -list KNOWN-RED.txt -- -race -count=1 -timeout 5m ./internal/hostile

# Runs the fault matrix, prints its counts and writes docs/FAULTS.md.
faults:
	@status=0; $(GO) test -count=1 -run 'TestFaultMatrix$$' ./internal/faultmatrix -faults.write || status=$$?; \
	sed -n '/^## Counts/,/^## Faults/{/^## Faults/!p;}' docs/FAULTS.md; exit $$status

# Rewrites the pages that are generated from code and charts.
docs: faults
	$(GO) test -count=1 ./internal/event ./internal/statechart -update

# Replays the seeded lists of both paths and prints docs/POLICY.md's tables.
policy:
	@$(GO) run ./internal/tools/policy

clean:
	rm -rf bin

demo: build
	$(GO) run ./internal/tools/demo
	$(GO) run ./internal/tools/soak --for 5s --verbose

capacity: build
	$(GO) run ./internal/tools/capacity

# Runs the deployed programs under faults, SEEDS seeds from SEED on.
SEED ?= 1
SEEDS ?= 1
soak: build
	$(GO) run ./internal/tools/soak --seed $(SEED) --seeds $(SEEDS)
