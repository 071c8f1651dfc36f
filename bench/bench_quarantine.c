/*
    Queries of death in large fleets: the quarantines of many hosts in one process, with simulated time.

    Each query of death (a "body") arrives three times per second under a new id at a random host. The server that
    starts it crashes 60 ms later, which breaks all requests running there, and restarts after 2 s as a new incarnation.
    Observations reach the other hosts after a delay or are lost; they are sent a second time after 150 ms, and two
    hosts export one datagram of observations every second. Ordinary requests run beside the bodies for 300 ms and are
    retried up to twice after a break.

    Output for each fleet size, number of bodies and loss: servers crashed per body (mean and maximum), ms from a body's
    third crash until all hosts have quarantined it, bodies with three crashes that were never quarantined on all hosts,
    ordinary requests sent, broken and refused by the quarantine, bytes of observations that a host receives per second,
    and CPU time of a host per second.
*/
#include <stdio.h>
#include <string.h>

#include "../chalkway_load.h"
#include "../chalkway_quarantine.h"
#include "bench.h"

#define HOSTS_MAX 300
#define SERVERS_MAX 750
#define RUNNING_MAX 20000
#define IN_TRANSIT_MAX 400000
#define BODIES_MAX 1000
#define SIMULATED_MS 12000LL
#define ARRIVALS_PER_S 3.0  /* arrivals of each body per second */
#define ORDINARY_PER_S 20.0 /* ordinary requests per second and server */
#define ORDINARY_RUN_MS 300
#define CRASH_AFTER_MS 60
#define RESTART_MS 2000
#define RESEND_MS 150
#define EXPORT_INTERVAL_MS 1000
#define MAX_ATTEMPTS 3
#define OBSERVATION_BYTES 32

typedef struct running_t {
    bool is_used;
    uint64_t content_hash;
    uint32_t host, server, attempts;
    int64_t ends_at_ms;
} running_t;

typedef struct server_t {
    uint64_t incarnation;
    int64_t down_until_ms;
} server_t;

/* An observation in transit to one host. */
typedef struct in_transit_t {
    cw_quarantine_observation_t observation;
    int64_t sent_at_ms, due_at_ms;
    uint32_t host;
} in_transit_t;

typedef struct simulation_t {
    uint32_t hosts, servers, bodies;
    uint32_t delay_ms;
    double loss;
    uint64_t draw_count, incarnation_count, ordinary_count;
    cw_quarantine_t* quarantines[HOSTS_MAX];
    server_t server[SERVERS_MAX];
    running_t running[RUNNING_MAX];
    in_transit_t in_transit[IN_TRANSIT_MAX];
    uint32_t in_transit_count;
    uint32_t crashes[BODIES_MAX];
    int64_t third_crash_ms[BODIES_MAX], quarantined_ms[BODIES_MAX];
    uint64_t broken, refused, sent, dropped_when_full;
    double cpu_s;
} simulation_t;

static double random_unit(simulation_t* sim) {
    return (double)(cw_mix(7, ++sim->draw_count) >> 11) / 9007199254740992.0;
}

static uint32_t random_below(simulation_t* sim, uint32_t n) {
    return (uint32_t)(random_unit(sim) * n);
}

static cw_fingerprint_t request_of(uint64_t content_hash) {
    return (cw_fingerprint_t){.workspace = content_hash <= BODIES_MAX ? 1 : 2, .content_hash = content_hash};
}

static void broadcast(simulation_t* sim, uint32_t from, const cw_quarantine_observation_t* observation, int64_t now_ms,
                      int64_t extra_delay_ms) {
    for (uint32_t h = 0; h < sim->hosts; h++) {
        if (h == from || random_unit(sim) < sim->loss) {
            continue;
        }
        if (sim->in_transit_count == IN_TRANSIT_MAX) {
            sim->dropped_when_full++;
            continue;
        }
        sim->in_transit[sim->in_transit_count++] =
            (in_transit_t){.observation = *observation,
                           .sent_at_ms = now_ms,
                           .due_at_ms = now_ms + extra_delay_ms + sim->delay_ms / 2 + random_below(sim, sim->delay_ms),
                           .host = h};
        sim->sent++;
    }
}

static bool observe(simulation_t* sim, uint32_t host, const cw_quarantine_observation_t* observation, int64_t now_ms) {
    double started_s = bench_cpu_s();
    bool is_new = cw_quarantine_observe(sim->quarantines[host], now_ms, observation);
    sim->cpu_s += bench_cpu_s() - started_s;
    return is_new;
}

static void make_observation(simulation_t* sim, uint32_t host, const cw_quarantine_observation_t* observation,
                             int64_t now_ms) {
    if (observe(sim, host, observation, now_ms)) {
        broadcast(sim, host, observation, now_ms, 0);
        broadcast(sim, host, observation, now_ms, RESEND_MS);
    }
}

static void deliver(simulation_t* sim, int64_t now_ms) {
    uint32_t kept_count = 0;
    for (uint32_t i = 0; i < sim->in_transit_count; i++) {
        in_transit_t* item = &sim->in_transit[i];
        if (item->due_at_ms > now_ms) {
            sim->in_transit[kept_count++] = *item;
            continue;
        }
        item->observation.age_ms += (uint32_t)(now_ms - item->sent_at_ms);
        observe(sim, item->host, &item->observation, now_ms);
    }
    sim->in_transit_count = kept_count;
}

static bool is_available(const simulation_t* sim, uint32_t s, const cw_verdict_t* v, int64_t now_ms) {
    for (uint32_t i = 0; i < v->excluded_count; i++) {
        if (v->incarnations[i] == sim->server[s].incarnation) {
            return false;
        }
    }
    return now_ms >= sim->server[s].down_until_ms;
}

/* Chooses an available server: at random if the verdict allows the request, else by rendezvous hashing of its content
   hash. Returns SERVERS_MAX when no server is available. */
static uint32_t choose_server(simulation_t* sim, uint64_t content_hash, const cw_verdict_t* v, int64_t now_ms) {
    uint32_t best = SERVERS_MAX;
    uint64_t best_score = 0;
    uint64_t salt = v->kind == CW_VERDICT_ALLOWED ? cw_mix(11, ++sim->draw_count) : content_hash;
    for (uint32_t s = 0; s < sim->servers; s++) {
        uint64_t score = cw_mix(salt, sim->server[s].incarnation);
        if (is_available(sim, s, v, now_ms) && score > best_score) {
            best = s;
            best_score = score;
        }
    }
    return best;
}

static void send_request(simulation_t* sim, uint32_t host, uint64_t content_hash, uint32_t attempts, int64_t now_ms) {
    cw_fingerprint_t request = request_of(content_hash);
    cw_verdict_t v = cw_quarantine_evaluate(sim->quarantines[host], now_ms, &request);
    bool is_query_of_death = content_hash <= BODIES_MAX;
    if (v.kind == CW_VERDICT_QUARANTINED) {
        sim->refused += !is_query_of_death;
        return;
    }
    uint32_t s = v.kind == CW_VERDICT_PENDING ? SERVERS_MAX : choose_server(sim, content_hash, &v, now_ms);
    for (uint32_t i = 0; i < RUNNING_MAX && s < SERVERS_MAX; i++) {
        if (!sim->running[i].is_used) {
            sim->running[i] =
                (running_t){.is_used = true,
                            .content_hash = content_hash,
                            .host = host,
                            .server = s,
                            .attempts = attempts,
                            .ends_at_ms = now_ms + (is_query_of_death ? CRASH_AFTER_MS : ORDINARY_RUN_MS)};
            break;
        }
    }
    if (s < SERVERS_MAX && v.kind == CW_VERDICT_TRIAL) {
        make_observation(sim, host,
                         &(cw_quarantine_observation_t){
                             .kind = CW_OBSERVED_TRIAL, .request = request, .incarnation = sim->server[s].incarnation},
                         now_ms);
    }
}

static void count_crash(simulation_t* sim, uint64_t content_hash, int64_t now_ms) {
    uint32_t body = (uint32_t)content_hash - 1;
    sim->crashes[body]++;
    sim->third_crash_ms[body] = sim->crashes[body] == 3 ? now_ms : sim->third_crash_ms[body];
}

static void crash_server(simulation_t* sim, uint32_t s, uint64_t by, int64_t now_ms) {
    uint64_t incarnation = sim->server[s].incarnation;
    sim->server[s] = (server_t){.incarnation = ++sim->incarnation_count, .down_until_ms = now_ms + RESTART_MS};
    count_crash(sim, by, now_ms);
    for (uint32_t i = 0; i < RUNNING_MAX; i++) {
        running_t run = sim->running[i];
        if (!run.is_used || run.server != s) {
            continue;
        }
        sim->running[i].is_used = false;
        sim->broken += run.content_hash > BODIES_MAX;
        make_observation(sim, run.host,
                         &(cw_quarantine_observation_t){.kind = CW_OBSERVED_CRASH,
                                                        .request = request_of(run.content_hash),
                                                        .incarnation = incarnation},
                         now_ms);
    }
}

/* Ends the requests that are due. Requests that broke in a crash are retried once their host has observed the crash. */
static void end_due_requests(simulation_t* sim, int64_t now_ms) {
    for (uint32_t i = 0; i < RUNNING_MAX; i++) {
        running_t run = sim->running[i];
        if (!run.is_used || run.ends_at_ms > now_ms) {
            continue;
        }
        if (run.content_hash <= BODIES_MAX) {
            running_t others[64];
            uint32_t count = 0;
            for (uint32_t k = 0; k < RUNNING_MAX && count < 64; k++) {
                if (sim->running[k].is_used && sim->running[k].server == run.server) {
                    others[count++] = sim->running[k];
                }
            }
            crash_server(sim, run.server, run.content_hash, now_ms);
            for (uint32_t k = 0; k < count; k++) {
                if (others[k].attempts < MAX_ATTEMPTS) {
                    send_request(sim, others[k].host, others[k].content_hash, others[k].attempts + 1, now_ms);
                }
            }
            continue;
        }
        sim->running[i].is_used = false;
        cw_fingerprint_t request = request_of(run.content_hash);
        if (cw_quarantine_has_crashes(sim->quarantines[run.host], &request)) {
            make_observation(sim, run.host,
                             &(cw_quarantine_observation_t){.kind = CW_OBSERVED_CLEARED, .request = request}, now_ms);
        }
    }
}

static void export_observations(simulation_t* sim, int64_t now_ms) {
    for (uint32_t h = 0; h < 2 && now_ms % EXPORT_INTERVAL_MS == 0; h++) {
        cw_quarantine_observation_t observations[CW_LOAD_OBSERVATIONS];
        uint32_t at = 0;
        uint32_t count = cw_quarantine_export(sim->quarantines[h], now_ms, &at, observations, CW_LOAD_OBSERVATIONS);
        for (uint32_t i = 0; i < count; i++) {
            broadcast(sim, h, &observations[i], now_ms, 0);
        }
    }
}

static void update_quarantined_times(simulation_t* sim, int64_t now_ms) {
    for (uint32_t body = 0; body < sim->bodies; body++) {
        bool is_quarantined_everywhere = sim->third_crash_ms[body] && !sim->quarantined_ms[body];
        cw_fingerprint_t request = request_of(body + 1);
        for (uint32_t h = 0; h < sim->hosts && is_quarantined_everywhere; h++) {
            is_quarantined_everywhere =
                cw_quarantine_evaluate(sim->quarantines[h], now_ms, &request).kind == CW_VERDICT_QUARANTINED;
        }
        sim->quarantined_ms[body] = is_quarantined_everywhere ? now_ms : sim->quarantined_ms[body];
    }
}

static void simulate(simulation_t* sim) {
    for (int64_t now_ms = 1; now_ms <= SIMULATED_MS; now_ms++) {
        deliver(sim, now_ms);
        end_due_requests(sim, now_ms);
        for (uint32_t body = 0; body < sim->bodies && now_ms > 1000; body++) {
            if (random_unit(sim) < ARRIVALS_PER_S / 1000) {
                send_request(sim, random_below(sim, sim->hosts), body + 1, 2, now_ms);
            }
        }
        double due = sim->servers * ORDINARY_PER_S / 1000;
        for (uint32_t i = 0; i < due; i++) {
            if (random_unit(sim) < due - i) {
                send_request(sim, random_below(sim, sim->hosts), BODIES_MAX + ++sim->ordinary_count, 1, now_ms);
            }
        }
        export_observations(sim, now_ms);
        if (now_ms % 5 == 0) {
            update_quarantined_times(sim, now_ms);
        }
    }
}

static void report(const simulation_t* sim) {
    uint32_t crashes = 0;
    uint32_t max_crashes = 0;
    int64_t longest_ms = 0;
    uint32_t missing = 0;
    for (uint32_t body = 0; body < sim->bodies; body++) {
        crashes += sim->crashes[body];
        max_crashes = sim->crashes[body] > max_crashes ? sim->crashes[body] : max_crashes;
        int64_t took_ms = sim->quarantined_ms[body] - sim->third_crash_ms[body];
        missing += sim->third_crash_ms[body] && !sim->quarantined_ms[body];
        longest_ms = sim->quarantined_ms[body] && took_ms > longest_ms ? took_ms : longest_ms;
    }
    printf("%5u %6u %5.0f %8.1f %5u %8lld %8u %9llu %8llu %6llu %10.0f %9.3f\n", sim->hosts, sim->bodies,
           sim->loss * 100, (double)crashes / sim->bodies, max_crashes, (long long)longest_ms, missing,
           (unsigned long long)sim->ordinary_count, (unsigned long long)sim->broken, (unsigned long long)sim->refused,
           (double)sim->sent * OBSERVATION_BYTES * 1000 / sim->hosts / SIMULATED_MS,
           sim->cpu_s * 1000 * 1000 / sim->hosts / SIMULATED_MS);
    fflush(stdout);
}

static void run_scenario(uint32_t hosts, uint32_t servers, uint32_t bodies, double loss) {
    simulation_t* sim = cw_alloc(NULL, 1, sizeof(*sim));
    sim->hosts = hosts;
    sim->servers = servers;
    sim->bodies = bodies;
    sim->loss = loss;
    sim->delay_ms = hosts > 16 ? 30 : 2;
    for (uint32_t h = 0; h < hosts; h++) {
        sim->quarantines[h] = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
    }
    for (uint32_t s = 0; s < servers; s++) {
        sim->server[s].incarnation = ++sim->incarnation_count;
    }
    simulate(sim);
    report(sim);
    for (uint32_t h = 0; h < hosts; h++) {
        cw_quarantine_shutdown(sim->quarantines[h]);
    }
    cw_free(NULL, sim);
}

int main(void) {
    static const double losses[] = {0, 0.1, 0.3};
    printf("hosts bodies loss%% crash/body  max delay-ms missing ordinary  broken refused bytes/host/s cpu-ms/s\n");
    run_scenario(9, 18, 1000, 0);
    for (int i = 0; i < 3; i++) {
        run_scenario(9, 18, 1, losses[i]);
        run_scenario(9, 18, 10, losses[i]);
        run_scenario(81, 140, 1, losses[i]);
        run_scenario(81, 140, 10, losses[i]);
        run_scenario(300, 750, 1, losses[i]);
        run_scenario(300, 750, 10, losses[i]);
    }
    return 0;
}
