# chalkway. Targets: all install demo check asan fuzz bench faults soak format lint deps clean.
BUILD ?= build
PREFIX ?= /usr/local
VERSION := 0.1.0

CC ?= gcc
OPT ?= -O2 -g
SANITIZE ?=
PKGS := msgpack libmicrohttpd libcurl inih libxxhash jansson libsodium
WARN := -Wall -Wextra -Werror
CFLAGS_ALL := -std=c11 -D_GNU_SOURCE $(OPT) $(WARN) $(SANITIZE) -MMD -MP $(CFLAGS)
LIBS = $(shell pkg-config --libs $(PKGS)) -lev -lhttp_parser -lm
CHECK_LIBS = $(shell pkg-config --libs check)

LIB := $(BUILD)/libchalkway.a
IO := $(patsubst %.c,$(BUILD)/%.o,$(wildcard io/*.c))
DAEMON := $(patsubst %.c,$(BUILD)/%.o,$(wildcard daemon/*.c))
GATEWAY := $(patsubst %.c,$(BUILD)/%.o,$(filter-out gateway/main.c,$(wildcard gateway/*.c)))
PLATFORM := $(patsubst %.c,$(BUILD)/%.o,$(filter-out platform/main.c,$(wildcard platform/*.c)))
SAMPLES := $(patsubst samples/%.c,$(BUILD)/samples/%,$(wildcard samples/*.c))
PROGRAMS := $(BUILD)/chalkwayd $(BUILD)/fake-platform $(BUILD)/fake-engine $(BUILD)/fake-service $(BUILD)/chalkway-demo \
            $(BUILD)/chalkwayctl $(BUILD)/chalkway-load $(BUILD)/chalkway-gateway $(BUILD)/chalkway-edge $(BUILD)/fake-source \
            $(BUILD)/fake-upstream $(BUILD)/chalkway-soak $(BUILD)/chalkway-soak-callers $(BUILD)/soak-clock.so $(BUILD)/cut-network.so $(SAMPLES)
TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/bench_*.c))
SOURCES := $(wildcard *.h *.c io/*.h io/*.c daemon/*.h daemon/*.c gateway/*.h gateway/*.c platform/*.h platform/*.c standins/*.h standins/*.c tools/*.h tools/*.c \
             tests/*.h tests/*.c tests/fuzz/*.c bench/*.h bench/*.c samples/*.c)
HEADERS := $(wildcard chalkway_*.h)

.PHONY: all lib install demo check test asan bench faults format lint deps clean
all: deps
	@$(MAKE) --no-print-directory programs

.PHONY: programs
programs: $(PROGRAMS) $(LIB)

# Installs what packages.txt names and is missing; does nothing when all is there.
deps:
	@sh tools/install_packages.sh packages.txt

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -c $< -o $@

$(LIB): $(BUILD)/chalkway.o
	$(AR) rcs $@ $^

$(BUILD)/chalkwayd: $(DAEMON) $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/chalkway-gateway: $(BUILD)/gateway/main.o $(GATEWAY) $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/chalkway-edge: $(BUILD)/platform/main.o $(PLATFORM) $(GATEWAY) $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

# What the platform's deploy file builds: no tests, nothing installed.
.PHONY: edge
edge: $(BUILD)/chalkway-edge

$(BUILD)/fake-%: $(BUILD)/standins/fake_%.o $(BUILD)/standins/standin.o $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/chalkway-demo: $(BUILD)/tools/demo.o $(BUILD)/tools/site.o $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/chalkway-load: $(BUILD)/tools/chalkway_load.o $(BUILD)/tools/load.o $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/chalkway-soak: $(BUILD)/tools/soak.o $(BUILD)/tools/soak_site.o $(BUILD)/tools/soak_faults.o $(BUILD)/tools/soak_releases.o $(BUILD)/tools/soak_check.o $(BUILD)/tools/soak_qod.o $(BUILD)/tools/soak_pushback.o $(BUILD)/tools/soak_streams.o $(BUILD)/standins/standin.o $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

# Preloaded into hosts: the clock of a soak's hosts, and broken network paths. Never sanitized, since they come before
# the sanitizers' own library.
$(BUILD)/soak-clock.so: tests/soak_clock.c
$(BUILD)/cut-network.so: tests/cut_network.c
$(BUILD)/%.so:
	@mkdir -p $(@D)
	$(CC) -std=c11 -D_GNU_SOURCE $(OPT) $(WARN) -fPIC -shared $< -o $@ -ldl

$(BUILD)/chalkway-soak-callers: $(BUILD)/tools/soak_callers.o $(BUILD)/tools/soak_check.o $(BUILD)/tools/soak_qod.o $(BUILD)/tools/soak_pushback.o $(BUILD)/tools/soak_streams.o $(BUILD)/standins/standin.o $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/chalkwayctl: $(BUILD)/tools/chalkwayctl.o $(BUILD)/tools/explain.o $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/samples/%.o: CFLAGS_ALL += -I.
$(BUILD)/samples/%: $(BUILD)/samples/%.o $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(BUILD)/tools/site.o $(BUILD)/tools/soak_check.o $(BUILD)/tools/soak_qod.o $(BUILD)/tools/soak_pushback.o $(BUILD)/tools/soak_streams.o $(BUILD)/tools/explain.o $(GATEWAY) $(PLATFORM) $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(CHECK_LIBS) $(LIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BUILD)/tools/site.o $(BUILD)/tools/load.o $(IO) $(LIB)
	$(CC) $(SANITIZE) $^ -o $@ $(LIBS)

demo: all
	@$(BUILD)/chalkway-demo $(BUILD)

test: all
	@$(MAKE) --no-print-directory $(TESTS)
	@CHALKWAY_BUILD=$(BUILD) sh tests/run.sh $(TESTS)

check: test
	@$(MAKE) --no-print-directory format-check lint

# The tests that bring failures about: kills, pauses, cuts, losses, outages, at the library and at real processes.
FAULT_TESTS := shard request runonce member store wire site
faults: all
	@$(MAKE) --no-print-directory $(patsubst %,$(BUILD)/tests/test_%,$(FAULT_TESTS))
	@CHALKWAY_BUILD=$(BUILD) sh tests/run.sh $(patsubst %,$(BUILD)/tests/test_%,$(FAULT_TESTS))

# Real processes under a seeded schedule of faults: make soak SEED=7 SECONDS=54
SEED ?= 1
SECONDS ?= 54
SOAK_ARGS ?=
.PHONY: soak
soak: all
	@sh tests/soak.sh $(BUILD) $(SEED) $(SECONDS) KNOWN-RED.txt $(SOAK_ARGS)

asan: deps
	@$(MAKE) --no-print-directory test BUILD=$(BUILD)/asan OPT="-O1 -g" SANITIZE="-fsanitize=address,undefined -fno-omit-frame-pointer"

# Input from outside, with the fuzzer of the compiler: make fuzz FUZZ_SECONDS=1800 for a long run.
FUZZ_TARGETS := catalog platform_catalog source servers packed settings request response events inventory load stream_message \
                gossip frame tunnel
FUZZ_RUNS ?= 30000
FUZZ_SECONDS ?= 0
FUZZ_SANITIZE := -fsanitize=fuzzer-no-link,address,undefined
FUZZ_PROGRAMS := $(BUILD)/fuzz-seeds $(patsubst %,$(BUILD)/fuzz-%,$(FUZZ_TARGETS))
.PHONY: fuzz fuzz-programs
fuzz: deps
	@$(MAKE) --no-print-directory fuzz-programs BUILD=$(BUILD)/fuzz CC=clang OPT="-O1 -g" SANITIZE="$(FUZZ_SANITIZE)"
	@sh tests/fuzz/run.sh $(BUILD)/fuzz $(FUZZ_RUNS) $(FUZZ_SECONDS) $(FUZZ_TARGETS)

fuzz-programs: $(FUZZ_PROGRAMS)

$(BUILD)/fuzz-seeds: $(BUILD)/tests/fuzz/seeds.o $(LIB)
	$(CC) $(SANITIZE) -fsanitize=address,undefined $^ -o $@ $(LIBS)

$(patsubst %,$(BUILD)/tests/fuzz/fuzz-%.o,$(FUZZ_TARGETS)): $(BUILD)/tests/fuzz/fuzz-%.o: tests/fuzz/fuzz.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -DFUZZ_TARGET=$* -c $< -o $@

$(patsubst %,$(BUILD)/fuzz-%,$(FUZZ_TARGETS)): $(BUILD)/fuzz-%: $(BUILD)/tests/fuzz/fuzz-%.o $(GATEWAY) $(PLATFORM) $(IO) $(LIB)
	$(CC) -fsanitize=fuzzer,address,undefined $^ -o $@ $(LIBS)

SCENARIO ?= decide
bench: all
	@$(MAKE) --no-print-directory $(BENCHES)
	@if [ -x $(BUILD)/bench/bench_$(SCENARIO) ]; then $(BUILD)/bench/bench_$(SCENARIO) $(BUILD); \
	else $(BUILD)/bench/bench_scenario $(BUILD) $(SCENARIO); fi

format:
	clang-format -i $(SOURCES)

.PHONY: format-check
format-check:
	clang-format --dry-run --Werror $(SOURCES)

lint:
	@sh tools/arrows.sh
	@sh tools/lint.sh $(BUILD)

install: all
	install -d $(DESTDIR)$(PREFIX)/include/chalkway $(DESTDIR)$(PREFIX)/lib/pkgconfig $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(HEADERS) $(DESTDIR)$(PREFIX)/include/chalkway
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 755 $(BUILD)/chalkwayd $(BUILD)/chalkwayctl $(BUILD)/chalkway-load $(DESTDIR)$(PREFIX)/bin
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' chalkway.pc.in > $(DESTDIR)$(PREFIX)/lib/pkgconfig/chalkway.pc

.SECONDARY:

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
