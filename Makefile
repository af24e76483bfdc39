# Targets to build, test, lint and run; `make packages` installs the required Debian packages (as root).
BUILD_PACKAGES := $(shell sed -n 's/^packages = \[\(.*\)\]$$/\1/p' deploy/balancer.toml | tr -d '",')
TEST_PACKAGES := g++ cmake make ccache libgtest-dev libgmock-dev librapidcheck-dev
FUZZ_SECONDS ?= 60
MEASURE_IN ?= build-measure/store
LINT_PACKAGES := clang-format clang-tidy doxygen
PACKAGES := $(BUILD_PACKAGES) $(TEST_PACKAGES) $(LINT_PACKAGES)
SOURCES := $(shell git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h' 'examples/*.cpp' 'examples/*.h')
# One job per core, unless a parent make's job server assigns them.
JOBS = $(if $(findstring jobserver,$(MAKEFLAGS)),,-j$(shell nproc))

.PHONY: build test test-plain test-sanitized built built-plain built-sanitized sites plays fuzz-store measure-store measure-membership chaos lint lint-format lint-tidy lint-commands lint-strict docs all-but-tests run packages clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j$$(nproc)

test: test-plain test-sanitized

built: built-plain built-sanitized
built-plain: OPTIONS :=
# -O1 keeps the sanitizers' checks and halves the compile time.
built-sanitized: OPTIONS := -DRAINHOOK_SANITIZE=ON -DCMAKE_CXX_FLAGS_RELEASE='-O1 -DNDEBUG'
built-plain built-sanitized: built-%:
	cmake -G 'Unix Makefiles' -B build-test-$* -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON $(OPTIONS)
	+$(MAKE) --no-print-directory -C build-test-$* $(JOBS)

# Runs one test per core; then the tests that check times on real sockets, few at once; then the tests that start
# processes.
TIMING_JOBS ?= 4
PROCESS_JOBS ?= $(shell nproc)
test-plain test-sanitized: test-%: built-%
	ctest --test-dir build-$@ -LE 'processes|timing' -j$$(nproc) $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240
	ctest --test-dir build-$@ -L timing -j$(TIMING_JOBS) $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240
	ctest --test-dir build-$@ -L processes -j$(PROCESS_JOBS) $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240

# Fuzzes the store's readers for FUZZ_SECONDS. CI does not run this target; it runs the corpus as a test.
fuzz-store:
	cmake -B build-fuzz -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_FUZZ=ON -DRAINHOOK_SANITIZE=ON && cmake --build build-fuzz -j$$(nproc) --target rainhook_store_fuzz
	mkdir -p build-fuzz/found && build-fuzz/rainhook_store_fuzz -max_total_time=$(FUZZ_SECONDS) -max_len=4096 build-fuzz/found tests/fuzz/corpus/store

# Measures the store in the folder MEASURE_IN. CI does not run this target, since it needs a dedicated disk and idle
# cores.
measure-store:
	cmake -B build-measure -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_MEASURE=ON && cmake --build build-measure -j$$(nproc) --target store_measure
	build-measure/store_measure $(MEASURE_IN)

# Measures membership against its baselines, in a simulation and with sixteen processes. CI does not run this target,
# since it takes several minutes.
measure-membership:
	cmake -B build-test-plain -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON && cmake --build build-test-plain -j$$(nproc) --target rainhook_membership_measure
	build-test-plain/tests/rainhook_membership_measure

# Injects random faults into a fleet of 8 to 16 processes for MINUTES. CI does not run this target.
MINUTES ?= 10
SEED ?= 1
chaos:
	cmake -B build-test-plain -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON && cmake --build build-test-plain -j$$(nproc) --target rainhook_chaos
	build-test-plain/tests/rainhook_chaos $(MINUTES) $(SEED)

# Runs each test that starts processes PLAYS times, AT_ONCE at a time, beside one busy loop per core, and prints the
# number of failures. CI does not run this target.
PLAYS ?= 100
AT_ONCE ?= 40
plays:
	cmake -B build-test-plain -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON && cmake --build build-test-plain -j$$(nproc) --target rainhook_fleet_tests
	tests/fleet/plays build-test-plain/tests/rainhook_fleet_tests $(PLAYS) $(AT_ONCE)

# Generates two unusual deployments for the operators' bench; requires the folder ../given.
sites:
	python3 deploy/sites/make.py

# Files that lint-unfinished.txt lists are checked with .clang-tidy; all other files under src with
# .clang-tidy-strict.
UNFINISHED := $(addsuffix %,$(shell sed 's/#.*//' lint-unfinished.txt))
FINISHED_HEADERS := $(filter-out $(UNFINISHED),$(filter src/%.h,$(SOURCES)))
# The largest files come first, since they tend to take longest.
TIDY := $(addprefix tidy@,$(shell git ls-files 'src/*.cpp' | xargs ls -S))
# oneof: a regular expression that matches any of the given words. strict: the options of clang-tidy for the strict
# checks, which report defects in the given headers only.
empty :=
oneof = ($(subst $(empty) $(empty),|,$(strip $(1))))
strict = --config-file=.clang-tidy-strict --header-filter='/$(call oneof,$(or $(1),none))$$'

lint: lint-format lint-tidy
lint-format:
	clang-format --dry-run --Werror $(SOURCES)
lint-tidy: lint-commands
	+@$(MAKE) --no-print-directory $(JOBS) -k $(TIDY)
lint-commands:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
.PHONY: $(TIDY)
$(TIDY):
	clang-tidy --quiet -p build $(if $(filter-out $(UNFINISHED),$(@:tidy@%=%)),$(call strict,$(FINISHED_HEADERS))) $(@:tidy@%=%)

# Runs only the strict checks on files or folders: make lint-strict FILES="src/decision src/pools/pools.cpp"
FILES ?=
lint-strict: lint-commands
	@[ -n "$(FILES)" ] || { echo 'FILES is empty; usage: make lint-strict FILES="src/..."'; exit 1; }
	git ls-files $(FILES) | grep '\.cpp$$' | xargs -P$$(nproc) -n1 clang-tidy --quiet -p build \
	  $(call strict,$(shell git ls-files $(FILES) $(dir $(filter %.cpp,$(FILES))) | grep '\.h$$'))

# Generates the documentation of the headers that lint-unfinished.txt does not list, under build-docs. Fails if a
# public item has no comment.
docs:
	@[ -n "$(FINISHED_HEADERS)" ] || echo 'docs: lint-unfinished.txt lists all headers, so there is nothing to document'
	@[ -z "$(FINISHED_HEADERS)" ] || { mkdir -p build-docs && { cat docs/Doxyfile; echo "INPUT = $(FINISHED_HEADERS)"; } | doxygen -; }

# All CI steps except the tests: lint, docs and both builds share one pool of jobs, and the output of each is printed
# when it has ended.
all-but-tests:
	+$(MAKE) $(JOBS) -k --output-sync=recurse whole@lint whole@docs whole@built-sanitized whole@built-plain
.PHONY: whole@lint whole@docs whole@built-sanitized whole@built-plain
whole@lint whole@docs whole@built-sanitized whole@built-plain:
	+@$(MAKE) --no-print-directory $(@:whole@%=%)

run: build
	python3 examples/toy.py build/rainhook

packages:
	[ $$(dpkg-query -W -f='$${db:Status-Status}\n' $(PACKAGES) 2>/dev/null | grep -cx installed) -ge $(words $(PACKAGES)) ] || \
	  (apt-get update -q && DEBIAN_FRONTEND=noninteractive apt-get install -y -q $(PACKAGES))

clean:
	rm -rf build build-*
