# The tasks of the project; CMake does the work.
CONFIG ?= /run/balancer/config.json

.PHONY: build test lint run
build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j4
test: build
	ctest --test-dir build --output-on-failure
lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.hpp')
run: build
	build/marblewood serve --config $(CONFIG)
