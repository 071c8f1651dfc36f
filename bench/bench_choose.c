/* Processor time, us, to choose an engine and to record one load report, for fleets of several sizes. Two thirds of the
   slots are in use, and load reports of all hosts are present. */
#include "../chalkway_balance.h"
#include "../tests/rng.h"
#include "bench.h"

#define ROUNDS 20000
#define HOSTS_MAX 330

typedef struct fleet_size_t {
    uint32_t hosts, engines, slots;
} fleet_size_t;

typedef struct cost_t {
    double choose_us, report_us;
} cost_t;

static cw_balance_t* make_balance(const fleet_size_t* size, const uint64_t* ids, uint64_t* engines) {
    cw_server_spec_t* specs = cw_alloc(NULL, size->engines, sizeof(*specs));
    cw_balance_t* b =
        cw_balance_setup(&(cw_balance_desc_t){.seed = ids[0], .max_servers = size->engines, .max_peers = HOSTS_MAX});
    cw_fleet_t fleet = {.ids = ids, .count = size->hosts, .propagation_ms = 12, .direct_propagation_ms = 4};
    for (uint32_t i = 0; i < size->engines; i++) {
        engines[i] = cw_mix(i, 5);
        specs[i] = (cw_server_spec_t){.id = engines[i], .slots = size->slots, .memory_tokens = 400000};
    }
    cw_balance_set_fleet(b, 1000, &fleet);
    cw_balance_set_servers(b, 0, specs, size->engines);
    cw_free(NULL, specs);
    return b;
}

/* Adds a load report of a random host for a random engine: one request, which uses one slot. */
static void add_report(cw_balance_t* b, const fleet_size_t* size, const uint64_t* ids, const uint64_t* engines,
                       rng_t* rng, int64_t now_ms) {
    cw_load_t load = {.running = 1, .tokens = 12000, .streaming = 1, .gap_ms = 250};
    uint64_t engine = engines[rng_below(rng, size->engines)];
    cw_balance_on_peer_load(b, now_ms, ids[1 + rng_below(rng, size->hosts - 1)], engine, &load);
}

static cost_t measure(const fleet_size_t* size) {
    static uint64_t ids[HOSTS_MAX];
    uint64_t* engines = cw_alloc(NULL, size->engines, sizeof(*engines));
    rng_t rng = {.state = 7};
    for (uint32_t i = 0; i < size->hosts; i++) {
        ids[i] = cw_mix(i, 3);
    }
    cw_balance_t* b = make_balance(size, ids, engines);
    uint32_t report_count = size->engines * size->slots * 2 / 3;
    for (uint32_t i = 0; i < report_count; i++) {
        add_report(b, size, ids, engines, &rng, 1000);
    }
    cw_work_t work = {
        .prompt_tokens = 9000, .target_ms = 2000, .gap_ms = 1000, .part_count = 2, .parts = {{1, 500}, {2, 4800}}};
    cost_t cost = {0};
    double start_s = bench_cpu_s();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        cw_balance_choose(b, 1000 + i / 1000, &work, NULL, 0);
    }
    cost.choose_us = (bench_cpu_s() - start_s) / ROUNDS * 1e6;
    start_s = bench_cpu_s();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        add_report(b, size, ids, engines, &rng, 1000 + i / 1000);
    }
    cost.report_us = (bench_cpu_s() - start_s) / ROUNDS * 1e6;
    cw_balance_shutdown(b);
    cw_free(NULL, engines);
    return cost;
}

int main(int argc, char** argv) {
    static const fleet_size_t sizes[] = {{9, 18, 48}, {81, 140, 12}, {295, 160, 24}, {330, 750, 8}};
    json_t* list = json_array();
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        cost_t c = measure(&sizes[i]);
        printf("%3u hosts, %3u engines of %2u slots: choose %.1f us, load report %.2f us\n", sizes[i].hosts,
               sizes[i].engines, sizes[i].slots, c.choose_us, c.report_us);
        json_array_append_new(list, json_pack("{s:i,s:i,s:i,s:f,s:f}", "hosts", (int)sizes[i].hosts, "engines",
                                              (int)sizes[i].engines, "places", (int)sizes[i].slots, "choose_us",
                                              c.choose_us, "news_us", c.report_us));
    }
    return bench_write(argc > 1 ? argv[1] : "build", "choose",
                       json_pack("{s:s,s:o}", "scenario", "choose", "points", list));
}
