# Thin front end over CMake; the presets are in CMakePresets.json.
JOBS ?= 6

.PHONY: all packages build test demo soak lint format clean

all: build

packages:
	Meta/install_packages

build: packages
	cmake --preset default > /dev/null
	cmake --build build -j $(JOBS)

test: build
	Meta/run_tests

demo: build
	build/bin/demo

# Runs of the edge program under faults, a few at a time; the seeds follow FIRST.
SEEDS ?= 50
FIRST ?= 1
soak: build
	seq $(FIRST) $$(($(FIRST) + $(SEEDS) - 1)) | xargs -P $(JOBS) -I{} build/bin/edge_soak --first-seed {}

lint: build
	Meta/check_format
	Meta/check_lint

format:
	Meta/check_format --fix

clean:
	cmake -E rm -rf build build-sanitize
