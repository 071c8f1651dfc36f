/*
    Queries of death in fleets of several sizes: the model of tests/crash_model.h.

    Output for each case: engines that crashed per cause (mean and highest), requests with a cause that reached an
   engine when all hosts could know of four crashes, sound requests sent, served, refused because of their content or a
   part of their prompt and given up, the longest wait of a sound request for a verdict, observations sent, and the CPU
   time of a host per second.
*/
#include "../tests/crash_model.h"
#include "bench.h"

#define SEEDS 3

typedef struct case_t {
    const char* name;
    model_desc_t desc;
} case_t;

static void run_case(const case_t* c) {
    uint32_t crashes = 0;
    uint32_t most = 0;
    uint32_t late = 0;
    model_result_t sum = {0};
    double started_s = bench_cpu_s();
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        model_desc_t d = c->desc;
        d.seed = seed;
        model_result_t r = model_run(&d);
        for (uint32_t i = 0; i < d.causes; i++) {
            crashes += r.crashes[i];
            most = r.crashes[i] > most ? r.crashes[i] : most;
            late += r.late_arrivals[i];
        }
        sum.sound_sent += r.sound_sent;
        sum.sound_served += r.sound_served;
        sum.sound_refused_for_content += r.sound_refused_for_content;
        sum.sound_refused_for_part += r.sound_refused_for_part;
        sum.sound_given_up += r.sound_given_up;
        sum.wait_max_ms = r.wait_max_ms > sum.wait_max_ms ? r.wait_max_ms : sum.wait_max_ms;
        sum.observations_sent += r.observations_sent;
    }
    double cpu_s = bench_cpu_s() - started_s;
    double mean = c->desc.causes ? (double)crashes / SEEDS / c->desc.causes : 0;
    double simulated_s = (double)c->desc.until_ms / 1000 * SEEDS;
    printf("%-28s %6.2f %5u %5u %8u %8u %5u %5u %7u %8u %8llu %9.3f\n", c->name, mean, most, late, sum.sound_sent,
           sum.sound_served, sum.sound_refused_for_content, sum.sound_refused_for_part, sum.sound_given_up,
           sum.wait_max_ms, (unsigned long long)sum.observations_sent / SEEDS,
           cpu_s * 1000 / simulated_s / c->desc.hosts);
    fflush(stdout);
}

int main(void) {
    const model_desc_t small = {
        .hosts = 12, .engines = 12, .causes = 1, .period_ms = 150, .sound_per_s = 5, .until_ms = 30000};
    const model_desc_t large = {
        .hosts = 300, .engines = 90, .causes = 1, .period_ms = 150, .sound_per_s = 3, .until_ms = 28000};
    case_t cases[] = {{"12 hosts", small},
                      {"3 hosts", small},
                      {"no head", small},
                      {"a third of datagrams lost", small},
                      {"a body", small},
                      {"ten parts in turn", small},
                      {"ten parts, 90 engines", small},
                      {"crashes without a cause", small},
                      {"300 hosts", large},
                      {"300 hosts, a third lost", large},
                      {"81 hosts, 140 engines", large},
                      {"81 hosts, a tenth lost", large},
                      {"81 hosts, ten bodies", large},
                      {"9 hosts, 100 bodies", small}};
    cases[1].desc.hosts = 3;
    cases[2].desc.has_no_head = true;
    cases[3].desc.loss = 1.0 / 3;
    cases[4].desc.is_body = true;
    cases[5].desc.causes = cases[6].desc.causes = 10;
    cases[5].desc.period_ms = cases[6].desc.period_ms = 1500;
    cases[6].desc.engines = 90;
    cases[7].desc.causes = 0;
    cases[7].desc.random_crashes_ms = 700;
    cases[9].desc.loss = 1.0 / 3;
    for (int i = 10; i <= 12; i++) {
        cases[i].desc.hosts = 81;
        cases[i].desc.engines = 140;
    }
    cases[11].desc.loss = 0.1;
    cases[12].desc.is_body = cases[13].desc.is_body = true;
    cases[12].desc.causes = 10;
    cases[12].desc.period_ms = cases[13].desc.period_ms = 333;
    cases[13].desc.hosts = 9;
    cases[13].desc.engines = 18;
    cases[13].desc.causes = 100;
    cases[13].desc.until_ms = 24000;
    printf("%-28s %6s %5s %5s %8s %8s %5s %5s %7s %8s %8s %9s\n", "", "mean", "most", "late", "sent", "served", "body",
           "part", "gave-up", "wait-ms", "sent", "cpu-ms/s");
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        run_case(&cases[i]);
    }
    return 0;
}
