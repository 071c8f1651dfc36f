#ifndef CW_BENCH_H
#define CW_BENCH_H
/* Helpers of the benchmarks: clocks, and the result file. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <time.h>

static inline double bench_clock(clockid_t id) {
    struct timespec ts;
    clock_gettime(id, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* CPU time of this process. */
static inline double bench_cpu_s(void) {
    return bench_clock(CLOCK_PROCESS_CPUTIME_ID);
}

static inline double bench_wall_s(void) {
    return bench_clock(CLOCK_MONOTONIC);
}

/* Writes root to BUILD/bench/NAME.json and frees it. Returns the exit status of the process. */
static inline int bench_write(const char* build, const char* name, json_t* root) {
    char path[256];
    snprintf(path, sizeof(path), "%s/bench", build);
    mkdir(path, 0777);
    snprintf(path, sizeof(path), "%s/bench/%s.json", build, name);
    int failed = json_dump_file(root, path, JSON_INDENT(2));
    json_decref(root);
    printf("\nwritten: %s\n", path);
    return failed ? 1 : 0;
}

#endif
