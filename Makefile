# Each target sets up .venv from the lock file first; the stamp makes a second run quick.
PYTHON ?= python3.11
DEPLOYMENT ?= rondinella
PYTEST_ARGS ?=
# Most tests wait for processes, so that more run side by side than a small machine has cores.
PYTEST_WORKERS ?= 5

VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PROTO_STAMP := $(VENV)/.installed-proto
PROTO := src/pomelobarrow/peers/peers.proto
PIP_INSTALL := $(BIN)/python -m pip install -qq --disable-pip-version-check

.DEFAULT_GOAL := test
.PHONY: losses replay test lint demo proofs proofs-page bench bench-check profile proto clean

# Tests with crowds of clients run one at a time, apart from the others. pytest ends with 5 where the
# arguments select no test.
test: $(STAMP)
	@$(BIN)/python -m pytest -n $(PYTEST_WORKERS) --dist worksteal -m "not crowd" $(PYTEST_ARGS) \
		|| [ $$? -eq 5 ]
	@$(BIN)/python -m pytest -m crowd $(PYTEST_ARGS) || [ $$? -eq 5 ]

lint: $(STAMP)
	@$(BIN)/black --check --quiet . || { $(BIN)/black --check .; exit 1; }
	@$(BIN)/ruff check --quiet .
	@$(BIN)/mypy
	@report=$$($(BIN)/lint-imports --no-logo --no-cache) || { echo "$$report"; exit 1; }

demo: $(STAMP)
	@$(BIN)/python -m demo --deployment $(DEPLOYMENT)

proofs: $(STAMP)
	@$(BIN)/python -m pytest -m proof $(PYTEST_ARGS)

proofs-page: $(STAMP)
	@$(BIN)/python tests/proof_rows.py

# Says of the daemons' log lines in LOG which requests were lost or late, when and why.
losses: $(STAMP)
	@$(BIN)/python -m bench.losses $(LOG)

# Plays load patterns of worst moments against the relay's decisions.
replay: $(STAMP)
	@$(BIN)/python -m bench.replay

bench: $(STAMP)
	@$(BIN)/python -m bench

bench-check: $(STAMP)
	@$(BIN)/python -m bench --check

# What one daemon spends on requests and on control, in fleets of several sizes.
profile: $(STAMP)
	@$(BIN)/python -m bench.profile

# The generated code is committed; only a changed peers.proto needs this.
proto: $(PROTO_STAMP)
	@PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I src \
		--python_out=src --pyi_out=src --grpclib_python_out=src $(PROTO)

clean:
	@rm -rf $(VENV)

$(STAMP): requirements.lock pyproject.toml
	@$(PYTHON) -m venv $(VENV)
	@$(PIP_INSTALL) --requirement requirements.lock
	@$(PIP_INSTALL) --no-deps --no-build-isolation --editable .
	@touch $@

$(PROTO_STAMP): $(STAMP) requirements-proto.lock
	@$(PIP_INSTALL) --requirement requirements-proto.lock
	@touch $@
