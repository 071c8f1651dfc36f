/* CPU time of a shard allocator's decisions: a slot request, its grant and its release, with increasing numbers of
   workspaces and queued requests. */
#include "../chalkway_shard.h"
#include "../tests/rng.h"
#include "bench.h"

#define REQUEST_COUNT 200000
#define ENTRY_COUNT 330
#define SLOTS_PER_UPSTREAM 64

typedef struct load_point_t {
    uint32_t workspaces, waiting;
} load_point_t;

typedef struct decision_cost_t {
    double request_ns, grant_ns, release_ns;
} decision_cost_t;

static cw_slot_request_t make_random_request(rng_t* rng, uint32_t seq, uint32_t workspaces) {
    return (cw_slot_request_t){.entry = 1 + rng_below(rng, ENTRY_COUNT),
                               .seq = seq,
                               .tier = (uint8_t)rng_below(rng, CW_TIERS),
                               .weight = 1,
                               .workspace = 1 + rng_below(rng, workspaces),
                               .cost = 50 + rng_below(rng, 500),
                               .est_ms = 1,
                               .queue_ms = 100000000,
                               .remaining_ms = 200000000,
                               .prefix = 1 + rng_below(rng, 1000)};
}

static cw_shard_t* setup_shard(const load_point_t* p) {
    cw_shard_t* s = cw_shard_setup(&(cw_shard_desc_t){.epoch = 1,
                                                      .max_waiting = p->waiting + 16,
                                                      .max_workspaces = p->workspaces,
                                                      .lease_ms = 1000000000,
                                                      .preempt_ms = 1000000000});
    cw_pick_spec_t specs[8];
    for (uint32_t i = 0; i < 8; i++) {
        specs[i] = (cw_pick_spec_t){.id = 1000 + i, .slots = SLOTS_PER_UPSTREAM};
    }
    cw_shard_set_upstreams(s, specs, 8);
    return s;
}

static decision_cost_t measure_decisions(const load_point_t* p) {
    rng_t rng = {.state = p->waiting};
    cw_shard_t* s = setup_shard(p);
    static uint64_t held[8 * SLOTS_PER_UPSTREAM];
    uint32_t held_count = 0;
    uint32_t seq = 0;
    cw_shard_action_t a;
    while (cw_shard_stats(s, 0).waiting < p->waiting) {
        cw_slot_request_t slot_request = make_random_request(&rng, ++seq, p->workspaces);
        if (cw_shard_request_slot(s, 0, &slot_request) != CW_OK) {
            abort();
        }
        if (held_count < 8 * SLOTS_PER_UPSTREAM && cw_shard_next_action(s, 0, &a)) {
            held[held_count++] = a.grant;
        }
    }
    if (!held_count) {
        abort();
    }
    double t[3] = {0};
    const uint32_t block = 200;
    for (uint32_t finished = 0; finished < REQUEST_COUNT; finished += block) {
        double started_s = bench_cpu_s();
        for (uint32_t i = 0; i < block; i++) {
            const cw_grant_release_t release = {.grant = held[(finished + i) % held_count], .took_ms = 5, .cost = 100};
            cw_shard_release_grant(s, 1, &release);
        }
        t[2] += bench_cpu_s() - started_s;
        started_s = bench_cpu_s();
        for (uint32_t i = 0; i < block; i++) {
            if (!cw_shard_next_action(s, 1, &a)) {
                abort();
            }
            held[(finished + i) % held_count] = a.grant;
        }
        t[1] += bench_cpu_s() - started_s;
        started_s = bench_cpu_s();
        for (uint32_t i = 0; i < block; i++) {
            cw_slot_request_t slot_request = make_random_request(&rng, ++seq, p->workspaces);
            cw_shard_request_slot(s, 1, &slot_request);
        }
        t[0] += bench_cpu_s() - started_s;
    }
    cw_shard_shutdown(s);
    return (decision_cost_t){.request_ns = t[0] / REQUEST_COUNT * 1e9,
                             .grant_ns = t[1] / REQUEST_COUNT * 1e9,
                             .release_ns = t[2] / REQUEST_COUNT * 1e9};
}

int main(int argc, char** argv) {
    static const load_point_t points[] = {{70, 1000}, {700, 10000}, {7000, 100000}};
    json_t* list = json_array();
    printf("decision cost in ns at one shard of 8 upstreams, 330 entries, 4 tiers\n\n");
    printf("  workspaces   waiting   request      grant   release\n");
    for (size_t i = 0; i < sizeof(points) / sizeof(points[0]); i++) {
        decision_cost_t c = measure_decisions(&points[i]);
        printf("  %10u %9u %9.0f %10.0f %9.0f\n", points[i].workspaces, points[i].waiting, c.request_ns, c.grant_ns,
               c.release_ns);
        json_array_append_new(list, json_pack("{s:i,s:i,s:f,s:f,s:f}", "workspaces", (int)points[i].workspaces,
                                              "waiting", (int)points[i].waiting, "want_ns", c.request_ns, "grant_ns",
                                              c.grant_ns, "done_ns", c.release_ns));
    }
    return bench_write(argc > 1 ? argv[1] : "build", "decide",
                       json_pack("{s:s,s:o}", "scenario", "decide", "points", list));
}
