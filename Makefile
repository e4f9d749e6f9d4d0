.PHONY: build demo test failures spec mutants soak

build:
	go build -o bin/ ./cmd/...

# Runs the whole path as separate processes on loopback.
demo:
	bash scripts/demo.sh

# Everything that CI checks.
test:
	bash scripts/test.sh

# Strikes failures at running processes while callers work.
failures:
	bash scripts/failures.sh

# Checks the specification and its mutants with Spin.
spec:
	bash scripts/spec.sh

# Takes rules out of a copy and checks that the tests notice.
mutants:
	bash scripts/mutants.sh

# Random failures from a fresh seed, which is printed; RUNS says how many.
RUNS ?= 1000
soak:
	SOAK_SEED=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' ') SOAK_CHECKS=$(RUNS) go test ./internal/world -run TestRandom -timeout 0 -v
