.PHONY: all build fmt lint test ci demo bench

all: build

build:
	go build -o bin/ . ./cmd/...

fmt:
	go tool -modfile=tools/go.mod gofumpt -w .

lint:
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...
	go tool -modfile=tools/go.mod revive -config revive.toml -set_exit_status ./...

test:
	go test ./...

ci:
	bash .ci/run

demo:
	go run . demo

bench:
	go test -run '^$$' -bench . ./internal/...
