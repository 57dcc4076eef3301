# build: an environment with all that is needed; test, lint: as .ci/run does; run: one backend with its stand-ins;
# incident: a staged incident on loopback and its report; sites: the bench's files beside the sites of deploy/sites.
PYTHON = .venv/bin/python
KIT = ../given/kit

.PHONY: build test lint run incident sites

build: .venv/built

.venv/built: requirements.txt requirements-tools.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(PYTHON) -m pytest -q -p no:cacheprovider -m alone
	$(PYTHON) -m pytest -q -p no:cacheprovider -m "few and not alone" -n 2 --dist loadfile
	$(PYTHON) -m pytest -q -p no:cacheprovider -m "not alone and not few" -n 4 --dist loadgroup

lint: build
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	$(PYTHON) -m mypy
	.venv/bin/lint-imports --no-cache

run: build
	$(PYTHON) -m standins

incident: build
	rm -rf build/incident build/incident.db && mkdir -p build
	$(PYTHON) -m standins.stage --kinds hung+kill --seed 7 build/incident >build/truth.log
	$(PYTHON) -m ringshift records gather build/incident/*.log -o build/incident.db
	$(PYTHON) -m ringshift report build/incident.db -o build/incident.html

sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
