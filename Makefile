# The usual commands; CMake does the work.
# make test PRESET=ci builds quicker
PRESET ?= default
# a regular expression of tests to leave out
WITHOUT ?= ^$$

.PHONY: all packages build test demo format lint soak generate

all: build

packages:
	tools/install-packages.sh

build:
	cmake --preset $(PRESET)
	cmake --build --preset $(PRESET)

test: build
	ctest --preset $(PRESET) -j 4 -E "$(WITHOUT)"

demo: build
	build/bin/figslip-demo

format:
	git ls-files -co --exclude-standard -- '*.hpp' '*.cpp' ':!generated' | xargs clang-format-19 -i

lint: build
	tools/lint.sh

# only after a change in thrift/; needs the package thrift-compiler
generate:
	thrift --gen cpp:no_skeleton -out generated/gen-cpp thrift/peer.thrift
	thrift --gen cpp:no_skeleton -out generated/gen-cpp thrift/relay.thrift
	thrift --gen cpp:no_skeleton -out generated/gen-cpp thrift/demand.thrift

# longer, with new seeds, each printed: make soak ROUNDS=20
soak: build
	tools/soak.sh $(ROUNDS)
