.PHONY: build demo test failures spec mutants soak

build:
	go build -o bin/ ./cmd/...

# Runs targets, platform, three VMs and a caller as separate processes on loopback.
demo:
	bash scripts/demo.sh

# Runs all checks, as CI does.
test:
	bash scripts/test.sh

# Injects failures into running processes under load.
failures:
	bash scripts/failures.sh

# Model-checks the specifications and their mutants with Spin.
spec:
	bash scripts/spec.sh

# Removes safety rules in a copy of the source, one at a time, and checks that
# the tests fail.
mutants:
	bash scripts/mutants.sh

# Runs the simulation with RUNS random fault schedules. The seed is random and is
# printed.
RUNS ?= 1000
soak:
	SOAK_SEED=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' ') SOAK_CHECKS=$(RUNS) go test ./internal/world -run TestRandom -timeout 0 -v
