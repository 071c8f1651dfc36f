/*
    A server that names its rate before many hosts, three ways to share it (tests/rate_model.h).

    Printed for each fleet, rate, loss of news and trouble: the most arrivals in a window as a share of what is allowed
    (over 1: broken), the use of the rate, time until all hosts know of it and of its end, messages a host hears a
   second.
*/
#include <stdio.h>

#include "../tests/rate_model.h"

#define PLAYED_S 24

static const char* const ways[] = {"owners", "equal parts", "summed"};

typedef struct trouble_t {
    const char* name;
    double killed, cut; /* share of the hosts */
    bool changes;
} trouble_t;

static void play(rate_way_t way, uint32_t hosts, double per_s, uint32_t loss_percent, const trouble_t* trouble) {
    rate_model_t m = {.way = way,
                      .hosts = hosts,
                      .per_s = per_s,
                      .other_per_s = trouble->changes ? per_s * 2 : 0,
                      .named_from_ms = 3000,
                      .named_until_ms = 20000,
                      .host_demand_per_s = 4,
                      .news_ms = hosts > 16 ? 100 : 5,
                      .loss_percent = loss_percent,
                      .killed = (uint32_t)(trouble->killed * hosts),
                      .kill_ms = 11000,
                      .cut = (uint32_t)(trouble->cut * hosts),
                      .cut_ms = 10000,
                      .heal_ms = 15000,
                      .play_ms = PLAYED_S * 1000LL,
                      .seed = 11};
    rate_play(&m);
    printf("%-12s %5u %5.1f %4u%% %-8s %6.2f %5.2f %6lld %6lld %8.1f\n", ways[way], hosts, per_s, loss_percent,
           trouble->name, m.worst, m.use, (long long)m.all_know_ms, (long long)m.all_free_ms,
           (double)m.messages / hosts / PLAYED_S);
    fflush(stdout);
}

int main(void) {
    static const uint32_t fleets[] = {6, 81, 300};
    static const double rates[] = {0, 0.5, 1.7, 4, 20};
    static const trouble_t troubles[] = {
        {"none", 0, 0, false}, {"killed", 0.67, 0, false}, {"cut", 0, 0.34, false}, {"changes", 0, 0, true}};
    printf("way          hosts  rate loss trouble   worst   use  know ms free ms messages\n");
    for (uint32_t f = 0; f < 3; f++) {
        for (uint32_t r = 0; r < 5; r++) {
            for (uint32_t t = 0; t < 4; t++) {
                for (uint32_t way = 0; way < RATE_WAY_COUNT; way++) {
                    play((rate_way_t)way, fleets[f], rates[r], t ? 10 : 0, &troubles[t]);
                }
            }
            play(RATE_OWNERS, fleets[f], rates[r], 30, &troubles[0]);
        }
    }
    return 0;
}
