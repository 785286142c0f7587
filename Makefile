# Everything runs in a virtual environment of its own; .venv belongs to deploy/balancer.toml.
VENV := build/venv
# More options for pytest, as .ci/run passes them.
PYTEST_OPTIONS :=
# Test files run side by side, one worker for each core up to six: the longest file bounds the time from there on.
TEST_WORKERS := $(shell n=$$(nproc 2>/dev/null || echo 1); test $$n -gt 6 && echo 6 || echo $$n)
STAMP := $(VENV)/.installed
RUN := $(VENV)/bin/python -m sedgepitch

.PHONY: demo test lint bench install-check clean

$(STAMP): requirements/run.txt requirements/dev.txt
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements/dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(RUN) fault-scenario

test: $(STAMP)
	$(VENV)/bin/python -m pytest -q -n $(TEST_WORKERS) --dist loadfile $(PYTEST_OPTIONS)

lint: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(VENV)/bin/mypy --strict -p sedgepitch.routing -p sedgepitch.core -p sedgepitch.decisions
	$(VENV)/bin/lint-imports

# The wheel in two empty environments: with its extra the command works, without it says what is missing.
install-check:
	rm -rf build/install && mkdir -p build/install
	python3 -m venv build/install/plain && python3 -m venv build/install/full
	build/install/full/bin/pip -q wheel --no-deps -w build/install .
	build/install/plain/bin/pip -q install build/install/*.whl
	build/install/full/bin/pip -q install -c requirements/run.txt "$$(ls build/install/*.whl)[daemon]"
	cd build/install && full/bin/sedgepitch --version && full/bin/sedgepitch config example > fleet.yaml
	cd build/install && full/bin/sedgepitch config check fleet.yaml
	cd build/install && plain/bin/python -c "import sedgepitch; sedgepitch.Router"
	cd build/install && { plain/bin/sedgepitch --version 2> said; test $$? = 2; } && grep -q "pip install" said
	test "$$(wc -l < build/install/said)" = 1

bench: $(STAMP)
	$(VENV)/bin/python -m benchmarks.throughput

clean:
	rm -rf build
