# build, test, lint and run; `make packages` installs what they need (Debian, as root).
BUILD_PACKAGES := $(shell sed -n 's/^packages = \[\(.*\)\]$$/\1/p' deploy/balancer.toml | tr -d '",')
TEST_PACKAGES := g++ cmake make ccache libgtest-dev libgmock-dev librapidcheck-dev
FUZZ_SECONDS ?= 60
MEASURE_IN ?= build-measure/store
LINT_PACKAGES := clang-format clang-tidy doxygen
PACKAGES := $(BUILD_PACKAGES) $(TEST_PACKAGES) $(LINT_PACKAGES)
SOURCES := $(shell git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h' 'examples/*.cpp' 'examples/*.h')
# A core each, unless a make above this one deals them out.
JOBS = $(if $(findstring jobserver,$(MAKEFLAGS)),,-j$(shell nproc))

.PHONY: build test test-plain test-sanitized built built-plain built-sanitized sites plays fuzz-store measure-store measure-membership chaos lint lint-format lint-tidy lint-commands lint-strict docs all-but-tests run packages clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j$$(nproc)

test: test-plain test-sanitized

built: built-plain built-sanitized
built-plain: OPTIONS :=
# -O1: the same checks, in half the time of the compiler.
built-sanitized: OPTIONS := -DRAINHOOK_SANITIZE=ON -DCMAKE_CXX_FLAGS_RELEASE='-O1 -DNDEBUG'
built-plain built-sanitized: built-%:
	cmake -G 'Unix Makefiles' -B build-test-$* -DCMAKE_BUILD_TYPE=Release -DRAINHOOK_TESTS=ON $(OPTIONS)
	+$(MAKE) --no-print-directory -C build-test-$* $(JOBS)

# A test a core; then what holds the time on real sockets beside few others; then what starts processes.
TIMING_JOBS ?= 4
PROCESS_JOBS ?= $(shell nproc)
test-plain test-sanitized: test-%: built-%
	ctest --test-dir build-$@ -LE 'processes|timing' -j$$(nproc) $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240
	ctest --test-dir build-$@ -L timing -j$(TIMING_JOBS) $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240
	ctest --test-dir build-$@ -L processes -j$(PROCESS_JOBS) $${PASS_OVER:+-E "$$PASS_OVER"} --output-on-failure --timeout 240

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

# lint-unfinished.txt names what is checked by .clang-tidy alone so far; all else under src by .clang-tidy-strict.
UNFINISHED := $(addsuffix %,$(shell sed 's/#.*//' lint-unfinished.txt))
FINISHED_HEADERS := $(filter-out $(UNFINISHED),$(filter src/%.h,$(SOURCES)))
# Those that take longest first, roughly.
TIDY := $(addprefix tidy@,$(shell git ls-files 'src/*.cpp' | xargs ls -S))
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

# The strict checks alone for files or folders: make lint-strict FILES="src/decision src/pools/pools.cpp"
FILES ?=
lint-strict: lint-commands
	@[ -n "$(FILES)" ] || { echo 'make lint-strict FILES="src/..."'; exit 1; }
	git ls-files $(FILES) | grep '\.cpp$$' | xargs -P$$(nproc) -n1 clang-tidy --quiet -p build \
	  $(call strict,$(shell git ls-files $(FILES) $(dir $(filter %.cpp,$(FILES))) | grep '\.h$$'))

# The headers of what is finished, each thing in them with its word; pages under build-docs.
docs:
	@[ -n "$(FINISHED_HEADERS)" ] || echo 'docs: no module is finished yet'
	@[ -z "$(FINISHED_HEADERS)" ] || { mkdir -p build-docs && { cat docs/Doxyfile; echo "INPUT = $(FINISHED_HEADERS)"; } | doxygen -; }

# All of CI but the tests: one pool of cores for the lint and both builds, each one's output whole at its end.
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
