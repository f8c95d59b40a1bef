# The usual targets; everything else is a subcommand of the program.
.PHONY: build install test race lint docs ci fleet soak
build:
	go build -o bin/tamarindring ./cmd/tamarindring
install:
	go install ./cmd/tamarindring
test:
	go test ./...
race:
	go test -race -short ./...
lint:
	gofmt -l . && go vet ./...
docs:
	go run ./cmd/tamarindring config reference > docs/operations/settings.md
	go run ./cmd/tamarindring events > docs/operations/events.md
ci:
	bash .ci/run
fleet:
	go run ./cmd/tamarindring fleet --duration 20s --report out/
# Fresh seeds for MINUTES; docs/operations/soak.md says more.
MINUTES ?= 10
soak:
	TAMARINDRING_SOAK_MINUTES=$(MINUTES) go test -count=1 -timeout 120m -v -run TestSoak ./platform/blackbox
