# The usual targets; everything else is a subcommand of the program.
.PHONY: build test race lint ci fleet
build:
	go build -o bin/tamarindring ./cmd/tamarindring
test:
	go test ./...
race:
	go test -race -short ./...
lint:
	gofmt -l . && go vet ./...
ci:
	bash .ci/run
fleet:
	go run ./cmd/tamarindring fleet --duration 20s --report out/
