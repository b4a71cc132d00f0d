# Development commands. `make demo` and `make test` need only CPython 3.11, pip and make.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
TEST_WORKERS ?= 8
SOAKS ?= 5

.PHONY: demo test soak lint format types imports check generate lock clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python examples/demo.py

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) -m "not soak"
	$(BIN)/python -m pytest -m soak

# Runs real nodes on the users' platform with externally injected faults and new seeds.
soak: $(STAMP)
	cd tests && ../$(BIN)/python -m soak --seconds 40 --soaks $(SOAKS)

lint: $(STAMP)
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format --check .

types: $(STAMP)
	$(BIN)/mypy

imports: $(STAMP)
	$(BIN)/lint-imports

check: lint format types imports test

# Generated code is committed, so this is only needed after a schema has changed.
generate: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python proto/generate.py

lock: $(STAMP)
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --strip-extras --no-emit-index-url \
	  --no-emit-find-links --no-emit-trusted-host --no-emit-options --extra bench --extra test \
	  -o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV)
