// Package wire defines the messages and services that the processes of a deployment use over drpc. The code is
// generated from the .proto files of this folder and committed, so that a build needs no generator. After a change
// run "go generate ./internal/wire" with protoc, protoc-gen-go and protoc-gen-go-drpc on the PATH.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto snapshot.proto executor.proto
