# Everything runs inside .venv under the checkout; no other step is needed.
PYTHON ?= python3.11
LIBRARIES := common config platform membership placement routing fleet scheduling gateway daemon cli standins soak
# Tests spend most of their time waiting, so there are more workers than half the cores.
TEST_WORKERS ?= 6
VENV := .venv
STAMP := $(VENV)/.installed
BIN := $(VENV)/bin

.PHONY: setup run run-hosted site test lint format capacity bench clean

setup: $(STAMP)

$(STAMP): requirements.lock $(wildcard libraries/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach library,$(LIBRARIES),-e libraries/$(library)) -e platform
	touch $(STAMP)

run: setup
	$(BIN)/python examples/demonstration.py

run-hosted: setup
	$(BIN)/python examples/hosted_demonstration.py

site: setup
	$(BIN)/python examples/demonstration.py --stay

test: setup
	$(BIN)/python -m pytest -n $(TEST_WORKERS) $(PYTEST_FLAGS)

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

capacity: setup
	$(BIN)/python benchmarks/capacity.py

bench: setup
	$(BIN)/python benchmarks/requests_bench.py
	$(BIN)/python benchmarks/placement_bench.py
	$(BIN)/python docs/make_measurements.py

clean:
	rm -rf $(VENV)

# SOAK holds the flags, for example SOAK="--seeds=50 --minutes=0.5".
soak: setup
	$(BIN)/python -m corianderhaven.soak $(SOAK)

.PHONY: replay reference soak
replay: setup
	$(BIN)/python examples/replay.py

reference: setup
	$(BIN)/python docs/make_reference.py
