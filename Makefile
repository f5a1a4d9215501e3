# Two commands for people: make demo, make test. Both install what they need (root or sudo).
BUILD ?= build

.PHONY: all setup build test demo format lint clean

all: build

setup:
	@scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: build
	@scripts/run_tests.sh $(BUILD)

demo: build
	@BUILD_DIR=$(BUILD) scripts/demo.sh

format: setup
	@scripts/check_format.sh --fix

lint: setup
	@scripts/check_format.sh
	@scripts/check_lint.sh

clean:
	@rm -rf $(BUILD) build-tidy
