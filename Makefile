# Everything runs in a virtual environment of its own; .venv belongs to deploy/balancer.toml.
VENV := build/venv
STAMP := $(VENV)/.installed
RUN := $(VENV)/bin/python -m sedgepitch

.PHONY: demo test lint bench clean

$(STAMP): requirements/run.txt requirements/dev.txt
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements/dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(RUN) badday

test: $(STAMP)
	$(VENV)/bin/python -m pytest -q

lint: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

bench: $(STAMP)
	$(VENV)/bin/python -m benchmarks.throughput

clean:
	rm -rf build
