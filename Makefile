DEPLOYMENT ?= attica
MODE ?= own
DEMO_own := demo
DEMO_platform := demo.mesh
FIRST ?= $(shell date +%j%H%M)
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo soak test check experiments format clean
setup: $(VENV)/.stamp

$(VENV)/.stamp: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m $(DEMO_$(MODE)) --deployment deployments/$(DEPLOYMENT).toml

# Minutes of fresh seeds; python -m tests.soak --help has the options.
soak: setup
	$(BIN)/python -m tests.soak --first $(FIRST) --seeds 5

test: setup
	$(BIN)/python -m tests

check: setup
	$(BIN)/ruff format --check bluebellsill demo tests
	$(BIN)/ruff check --quiet --select F,I bluebellsill demo tests
	$(BIN)/flake8 bluebellsill demo
	$(BIN)/mypy

experiments: setup
	$(BIN)/pip install --quiet --editable '.[plots]'
	$(BIN)/python -m demo.experiment experiments/*.toml
	$(BIN)/python -m demo.plot

format: setup
	$(BIN)/ruff format bluebellsill demo tests

clean:
	rm -rf $(VENV) build *.egg-info
