/* Costs of a host in a large fleet: processor time to apply the first list of servers, a changed list and a changed
   fleet, and to choose a server; and traffic between members at the start of a fleet and during a rolling restart. The
   processor time is measured on this process's processor clock, the traffic on a simulated clock. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../chalkway_balance.h"
#include "../tests/fleet.h"

#define ROUNDS 20
#define HALLS 6
#define RESTART_INTERVAL_MS 500 /* between two restarts */
#define RESTARTS 16

static const cw_members_desc_t member_times = {.period_ms = 250, .timeout_ms = 100, .suspect_ms = 700, .retry_ms = 250};

static double now_ms(void) {
    return (double)clock() * 1000.0 / CLOCKS_PER_SEC;
}

static void measure_balance(uint32_t servers, uint32_t hosts) {
    uint64_t* ids = calloc(hosts, sizeof(*ids));
    cw_server_spec_t* specs = calloc(servers, sizeof(*specs));
    for (uint32_t i = 0; i < hosts; i++) {
        ids[i] = cw_mix(1, i);
    }
    for (uint32_t i = 0; i < servers; i++) {
        specs[i] = (cw_server_spec_t){.id = cw_mix(2, i), .hall = i % HALLS, .slots = 32, .memory_tokens = 400000};
    }
    cw_fleet_t fleet = {.ids = ids, .count = hosts};
    cw_work_t work = {.prompt_tokens = 1000, .target_ms = 500};
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.hall = 1, .seed = ids[0], .max_servers = servers});
    double start_ms = now_ms();
    cw_balance_set_fleet(b, 1000, &fleet);
    cw_balance_set_servers(b, 1000, specs, servers);
    printf("%6u %6u %10.2f", servers, hosts, now_ms() - start_ms);
    start_ms = now_ms();
    for (int i = 0; i < ROUNDS; i++) {
        specs[0].id++;
        cw_balance_set_servers(b, 1000, specs, servers);
    }
    printf(" %10.2f", (now_ms() - start_ms) / ROUNDS);
    start_ms = now_ms();
    for (int i = 0; i < ROUNDS; i++) {
        cw_balance_set_fleet(b, 1000, &fleet);
    }
    printf(" %10.2f", (now_ms() - start_ms) / ROUNDS);
    start_ms = now_ms();
    for (int i = 0; i < ROUNDS; i++) {
        cw_balance_choose(b, 1000, &work, NULL, 0);
    }
    printf(" %10.3f\n", (now_ms() - start_ms) / ROUNDS);
    cw_balance_shutdown(b);
    free(specs);
    free(ids);
}

static void measure_members(uint32_t hosts) {
    static fleet_t fleet;
    int64_t complete_ms = 0;
    fleet_setup_with(&fleet, hosts, 1, &member_times);
    for (; complete_ms < 20000 && !fleet_is_converged(&fleet); complete_ms += 250) {
        fleet_run(&fleet, 250);
    }
    double start_kb = (double)fleet.bytes / hosts / 1000;
    fleet.bytes = 0;
    for (uint32_t restart = 0; restart < RESTARTS; restart++) {
        uint32_t host = restart * 37 % hosts;
        cw_members_shutdown(fleet.hosts[host]);
        fleet_start(&fleet, host);
        fleet_run(&fleet, RESTART_INTERVAL_MS);
    }
    printf("%6u %10lld %10.1f %10.1f\n", hosts, (long long)complete_ms, start_kb,
           (double)fleet.bytes / hosts / (RESTARTS * RESTART_INTERVAL_MS));
    fleet_shutdown(&fleet);
}

int main(void) {
    static const uint32_t servers[] = {100, 1000, 10000};
    static const uint32_t hosts[] = {9, 100, 1000};
    printf("processor time of a host, ms\n%6s %6s %10s %10s %10s %10s\n", "servers", "hosts", "first list", "new list",
           "new fleet", "choice");
    for (size_t i = 0; i < sizeof(servers) / sizeof(servers[0]); i++) {
        for (size_t k = 0; k < sizeof(hosts) / sizeof(hosts[0]); k++) {
            measure_balance(servers[i], hosts[k]);
        }
    }
    printf("membership, for each host\n%6s %10s %10s %10s\n", "hosts", "joined, ms", "start, kB", "roll, kB/s");
    for (size_t k = 0; k < sizeof(hosts) / sizeof(hosts[0]); k++) {
        measure_members(hosts[k]);
    }
    return 0;
}
