GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint

.PHONY: all build run test lint fmt traces seeds fuzz pages clean

all: build

# build builds both binaries in bin/.
build:
	$(GO) build -o bin/cactusreel ./cmd/cactusreel
	$(GO) build -o bin/standin ./cmd/standin

# run runs the demo with real processes on loopback.
run: build
	bash scripts/demo.sh

# lint checks the formatting and runs the linter; it changes no files.
lint:
	@test -z "$$(gofmt -l . | tee /dev/stderr)" || { echo "run gofmt -w on these files"; exit 1; }
	$(GO) vet ./...
	$(LINT) run ./...

fmt:
	gofmt -w .

# test is what CI runs: it builds, lints and runs all tests, those listed in KNOWN-RED.txt
# last and without an effect on the verdict.
test: build lint
	GO="$(GO)" bash scripts/test.sh

# traces replays every trace in testdata/ with the replay command.
traces: build
	bin/cactusreel replay testdata/*.jsonl

# seeds runs the randomised schedule tests with N cases each, and with SEED
# instead of the fixed seeds of the tests if it is set: make seeds N=10000 SEED=7.
N ?= 1000
seeds:
	$(GO) test -count=1 -timeout 0 -run '^TestSchedules' ./ownership ./tasks ./dedup ./routing \
		-rapid.checks=$(N) $(if $(SEED),-rapid.seed=$(SEED))

# fuzz runs every fuzz target for FUZZTIME each.
FUZZTIME ?= 10s
fuzz:
	@for f in $$(grep -rlE '^func Fuzz' --include='*_test.go' .); do \
		for t in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' $$f); do \
			$(GO) test -run '^$$' -fuzz "^$$t$$" -fuzztime $(FUZZTIME) ./$$(dirname $$f) || exit 1; \
		done; \
	done

# pages generates the reference pages; tests check that they match the code.
pages: build
	bin/cactusreel codes --markdown > docs/result-codes.md
	bin/cactusreel events --markdown > docs/log-events.md
	bin/cactusreel settings reference > docs/settings.md

clean:
	rm -rf bin run
