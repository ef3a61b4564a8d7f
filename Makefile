PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
# Named after what it installs, so that several trees can share a VENV.
STAMP := $(VENV)/.installed-$(shell cat requirements.txt \
	requirements-dev.txt pyproject.toml | sha256sum | cut -c1-16)
SOURCES := src testing bench spec tools
# Programs use the code of this tree, also when several trees share a VENV.
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: demo test lint format model bench slopes scale schema fuzz soak

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(BIN)/python -m _jasminewind.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/black --quiet $(SOURCES)

model: $(STAMP)
	$(BIN)/python -m spec

fuzz: $(STAMP)
	$(BIN)/python -m pytest testing --fuzz-examples=2000 -k fuzz

soak: $(STAMP)
	$(BIN)/python -m testing.soak --count 10

bench: $(STAMP)
	$(BIN)/python -m bench.run

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

scale: $(STAMP)
	$(BIN)/python -m bench.scale

schema: $(STAMP)
	$(BIN)/python -m tools.schema
