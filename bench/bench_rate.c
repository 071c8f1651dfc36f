/*
    Three strategies to share the rate that a server advertises among many hosts (tests/rate_model.h).

    Printed for each fleet, rate, message loss and fault: the most arrivals in a window as a share of those allowed (the
    rate is violated above 1), the utilization of the rate, the times until the rate is active at all hosts and, after
    its withdrawal, at none, and the messages that a host receives per second.
*/
#include <stdio.h>

#include "../tests/rate_model.h"

#define DURATION_S 24

static const char* const strategy_names[] = {"owners", "equal shares", "broadcast"};

typedef struct fault_t {
    const char* name;
    double killed, partitioned; /* shares of the hosts */
    bool changes;
} fault_t;

static void run_case(rate_strategy_t strategy, uint32_t hosts, double per_s, uint32_t loss_percent,
                     const fault_t* fault) {
    rate_model_t m = {.strategy = strategy,
                      .hosts = hosts,
                      .per_s = per_s,
                      .other_per_s = fault->changes ? per_s * 2 : 0,
                      .advertised_from_ms = 3000,
                      .advertised_until_ms = 20000,
                      .host_demand_per_s = 4,
                      .message_delay_ms = hosts > 16 ? 100 : 5,
                      .loss_percent = loss_percent,
                      .killed = (uint32_t)(fault->killed * hosts),
                      .kill_ms = 11000,
                      .partitioned = (uint32_t)(fault->partitioned * hosts),
                      .partition_ms = 10000,
                      .heal_ms = 15000,
                      .duration_ms = DURATION_S * 1000LL,
                      .seed = 11};
    rate_simulate(&m);
    printf("%-12s %5u %5.1f %4u%% %-8s %6.2f %5.2f %6lld %6lld %8.1f\n", strategy_names[strategy], hosts, per_s,
           loss_percent, fault->name, m.worst_ratio, m.utilization, (long long)m.all_informed_ms,
           (long long)m.all_released_ms, (double)m.messages / hosts / DURATION_S);
    fflush(stdout);
}

int main(void) {
    static const uint32_t fleets[] = {6, 81, 300};
    static const double rates[] = {0, 0.5, 1.7, 4, 20};
    static const fault_t faults[] = {
        {"none", 0, 0, false}, {"killed", 0.67, 0, false}, {"isolated", 0, 0.34, false}, {"changes", 0, 0, true}};
    printf("strategy     hosts  rate loss fault     worst   use  know ms free ms messages\n");
    for (uint32_t f = 0; f < 3; f++) {
        for (uint32_t r = 0; r < 5; r++) {
            for (uint32_t t = 0; t < 4; t++) {
                for (uint32_t strategy = 0; strategy < RATE_STRATEGY_COUNT; strategy++) {
                    run_case((rate_strategy_t)strategy, fleets[f], rates[r], t ? 10 : 0, &faults[t]);
                }
            }
            run_case(RATE_OWNERS, fleets[f], rates[r], 30, &faults[0]);
        }
    }
    return 0;
}
