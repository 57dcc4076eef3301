# build: an environment with all that is needed; test, lint: as .ci/run does; run: one backend with its stand-ins.
PYTHON = .venv/bin/python

.PHONY: build test lint run

build: .venv/built

.venv/built: requirements.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(PYTHON) -m pytest -q -p no:cacheprovider

lint: build
	.venv/bin/ruff check .
	$(PYTHON) -m mypy

run: build
	$(PYTHON) -m standins
