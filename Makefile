# The tasks of the project; CMake does the work. `demo` and `test` do all set-up on a fresh Debian 12 machine.
CONFIG ?= /run/balancer/config.json
PACKAGES = g++ cmake make pkg-config libgtest-dev nlohmann-json3-dev libboost1.81-dev libfmt-dev libjsoncpp-dev \
	libcli11-dev libprotobuf-dev protobuf-compiler libxxhash-dev libvalijson-dev libseccomp-dev
SEED ?= 1

.PHONY: setup setup-plots build test demo lint run
setup:
	@missing=; for p in $(PACKAGES); do \
	  dpkg-query -W -f='$${Status}' $$p 2>/dev/null | grep -q 'ok installed' || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then \
	  if [ "$$(id -u)" = 0 ]; then root=; else root=sudo; fi; \
	  $$root apt-get update -qq && DEBIAN_FRONTEND=noninteractive $$root apt-get install -y -qq $$missing >/dev/null; fi
setup-plots:
	@command -v gnuplot >/dev/null || $(MAKE) --no-print-directory setup PACKAGES=gnuplot-nox
build: setup
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j4
test: build
	ctest --test-dir build --output-on-failure -j4
demo: setup-plots build
	build/marblewood-lab run lab/demo.json --seed $(SEED) --out build/demo
lint: build
	tools/lint.sh build
run: build
	build/marblewood serve --config $(CONFIG)
