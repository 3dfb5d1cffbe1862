# Developer shortcuts; the build itself needs only the go command.

# generate rebuilds package wire from its .proto files; it needs protoc,
# protoc-gen-go and protoc-gen-go-grpc. The result is committed.
generate:
	protoc -I . --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative wire/*.proto

# lint runs the linter with the pinned version.
lint:
	go -C tools build -o ../bin/ tool
	bin/golangci-lint run ./...

# gopls installs the language server, whose command line renames identifiers with
# all their uses. The version is the newest that the Go version of go.mod builds.
gopls:
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@v0.23.0

.PHONY: generate lint gopls
