# Common tasks. `make help` lists them.

GOLANGCI_LINT_VERSION := v2.15.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_CONNECT_GO_VERSION := v1.21.1

SEED ?= 1
SOAK ?= 40s
SEEDS ?= 1-50
LENGTH ?= 8s
DAEMONS ?= 5
GOBIN := $(shell go env GOPATH)/bin
export CGO_ENABLED := 1
export PATH := $(GOBIN):$(PATH)

.PHONY: help
help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

.PHONY: build
build: ## build the programs into bin/
	go build -o bin/ ./cmd/...

.PHONY: test
test: ## run all tests
	scripts/test

.PHONY: tools
tools: ## install the linter and the generators
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_GO_VERSION)

.PHONY: lint-tool
lint-tool:
	@golangci-lint version 2>/dev/null | grep -q "$(patsubst v%,%,$(GOLANGCI_LINT_VERSION))" || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

.PHONY: lint
lint: lint-tool ## check the format and run the linter
	golangci-lint fmt --diff
	golangci-lint run ./...

.PHONY: format
format: lint-tool ## format the code
	golangci-lint fmt

.PHONY: generate
generate: ## generate code from the .proto files (needs `make tools`)
	buf lint
	buf generate

.PHONY: matrix
matrix: ## run every fault matrix and print the number of cells (SEED=n sets the seed)
	LACEWINGTALLY_SEED=$(SEED) scripts/matrix

.PHONY: race-matrix
race-matrix: ## run every fault matrix with the race detector (slow)
	go test -race -cpu 1 -count=1 -timeout 60m -run '^TestMatrix' ./...

.PHONY: measure
measure: ## replay the recorded traces; writes docs/MEASURES.md and plots
	go run ./cmd/measure

.PHONY: fuzz
fuzz: ## fuzz the frame decoder for 30 s
	go test -run '^$$' -fuzz FuzzReadFrame -fuzztime 30s ./internal/peer/wire

.PHONY: bench
bench: ## run the benchmarks of the hot path
	go test -run '^$$' -bench . -benchmem ./internal/...

.PHONY: cover
cover: ## write a coverage profile to cover.out
	go test -coverprofile=cover.out ./...
	go tool cover -func=cover.out | tail -1

.PHONY: demo
demo: build ## start the system on loopback and demonstrate it
	scripts/demo

.PHONY: soak
soak: soak-front ## inject random faults into real processes (SEED=n, SOAK=40s, SEEDS=1-50)
	LACEWINGTALLY_SEED=$(SEED) LACEWINGTALLY_SOAK=$(SOAK) go test -tags soak -count=1 -timeout 30m -v -run '^TestSoak$$' ./internal/daemon/endtoend

.PHONY: soak-front
soak-front: ## inject random faults into daemons on the users' platform (SEEDS=1-50, LENGTH=8s, DAEMONS=5)
	LACEWINGTALLY_SOAK_SEEDS=$(SEEDS) LACEWINGTALLY_SOAK_LENGTH=$(LENGTH) LACEWINGTALLY_SOAK_DAEMONS=$(DAEMONS) \
		go test -count=1 -timeout 60m -parallel 3 -v -run '^TestSoakSeeds$$' ./platform/soak
