# build, test, lint and run; `make packages` installs what they need (Debian, as root).
BUILD_PACKAGES := $(shell sed -n 's/^packages = \[\(.*\)\]$$/\1/p' deploy/balancer.toml | tr -d '",')
TEST_PACKAGES := g++ cmake make libgtest-dev libgmock-dev librapidcheck-dev
FUZZ_SECONDS ?= 60
MEASURE_IN ?= build-measure/store
LINT_PACKAGES := clang-format clang-tidy
PACKAGES := $(BUILD_PACKAGES) $(TEST_PACKAGES) $(LINT_PACKAGES)
SOURCES := $(shell git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'bench/*.cpp')

.PHONY: build test test-plain test-sanitized sites plays fuzz-store measure-store measure-membership chaos lint run packages clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j$$(nproc)

test: test-plain test-sanitized

test-plain: OPTIONS :=
test-sanitized: OPTIONS := -DRAINHOOK_SANITIZE=ON
test-plain test-sanitized:
	cmake -B build-$@ -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON $(OPTIONS) && cmake --build build-$@ -j$$(nproc)
	ctest --test-dir build-$@ -LE processes $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240
	ctest --test-dir build-$@ -L processes -j$$(nproc) $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240

# A search of FUZZ_SECONDS for bytes that harm the store's readers; not in CI, which runs the corpus.
fuzz-store:
	cmake -B build-fuzz -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_FUZZ=ON -DRAINHOOK_SANITIZE=ON && cmake --build build-fuzz -j$$(nproc) --target rainhook_store_fuzz
	mkdir -p build-fuzz/found && build-fuzz/rainhook_store_fuzz -max_total_time=$(FUZZ_SECONDS) -max_len=4096 build-fuzz/found tests/fuzz/corpus/store

# Not in CI: wants a disk of its own and quiet cores. MEASURE_IN is on the disk to be measured.
measure-store:
	cmake -B build-measure -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_MEASURE=ON && cmake --build build-measure -j$$(nproc) --target store_measure
	build-measure/store_measure $(MEASURE_IN)

# Membership against its baselines, simulated and with sixteen processes; some minutes, not in CI.
measure-membership:
	cmake -B build-test-plain -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON && cmake --build build-test-plain -j$$(nproc) --target rainhook_membership_measure
	build-test-plain/tests/rainhook_membership_measure

# Faults by chance against 8 to 16 processes; not in CI.
MINUTES ?= 10
SEED ?= 1
chaos:
	cmake -B build-test-plain -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON && cmake --build build-test-plain -j$$(nproc) --target rainhook_chaos
	build-test-plain/tests/rainhook_chaos $(MINUTES) $(SEED)

# Each test with processes PLAYS times, many at once beside a busy loop a core; says how many failed. Not in CI.
PLAYS ?= 100
AT_ONCE ?= 40
plays:
	cmake -B build-test-plain -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON && cmake --build build-test-plain -j$$(nproc) --target rainhook_fleet_tests
	tests/fleet/plays build-test-plain/tests/rainhook_fleet_tests $(PLAYS) $(AT_ONCE)

# Two deployments unlike the others for the operators' bench, where ../given is there.
sites:
	python3 deploy/sites/make.py

lint:
	clang-format --dry-run --Werror $(SOURCES)
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
	printf '%s\n' $(filter src/%.cpp,$(SOURCES)) | xargs -P$$(nproc) -n1 clang-tidy --quiet -p build

run: build
	python3 examples/toy.py build/rainhook

packages:
	[ $$(dpkg-query -W -f='$${db:Status-Status}\n' $(PACKAGES) 2>/dev/null | grep -cx installed) -ge $(words $(PACKAGES)) ] || \
	  (apt-get update -q && DEBIAN_FRONTEND=noninteractive apt-get install -y -q $(PACKAGES))

clean:
	rm -rf build build-*
