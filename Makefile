.PHONY: demo rehearse test check format lint generate bench soak soak-processes end-to-end

demo: ## run the whole system in one process
	go run ./cmd/dotterelpost demo

rehearse: ## run the example fault-injection test in one process
	go run ./cmd/dotterelpost rehearse --plan examples/rehearsal/day.json

test: ## run all tests
	go test ./...

check: ## what CI runs
	bash .ci/run

format: ## format all Go files
	git ls-files '*.go' | grep -vE '\.pb\.go$$|\.connect\.go$$' | xargs go tool gofumpt -w

lint: ## vet and staticcheck
	go vet ./...
	go tool staticcheck ./...

generate: ## regenerate the code of the messages between instances; needs the network
	GOBIN=$(CURDIR)/.bin go install github.com/bufbuild/buf/cmd/buf@v1.75.0
	GOBIN=$(CURDIR)/.bin go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(CURDIR)/.bin go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
	PATH=$(CURDIR)/.bin:$$PATH buf generate

bench: ## run the benchmarks
	go test -run '^$$' -bench . ./...

soak: ## run the property tests with a new seed, which is printed, and a bounded number of checks
	@seed=$$(date +%s); echo "seed $$seed"; \
	go test ./internal/committer -rapid.seed=$$seed -rapid.checks=20000 && \
	go test ./internal/partitioncontroller -run InAnyWorld -timeout 15m -rapid.seed=$$seed -rapid.checks=1000

soak-processes: ## run instances as processes under load and faults and check that no task is started twice; options in ARGS
	go build -o target/dotterelpost ./cmd/dotterelpost
	go run ./platform/processsoaker $(ARGS)

end-to-end: ## measure three instances and the simulated platform under load, as separate processes
	scripts/end-to-end
