#ifndef CW_TOOLS_LOAD_H
#define CW_TOOLS_LOAD_H
/*
    Open-loop load generator: requests are sent at times planned beforehand,
    whatever the outcome of earlier requests. Simulated callers follow the
    rules for callers of the system: they look up host addresses and cache
    the response for its lifetime, try the next address when an attempt sent
    nothing, honour Retry-After, and never retry a run-once call that may
    have run. Every response is compared byte for byte with the one expected
    for its request.
*/
#include <ev.h>

#include "../chalkway_hist.h"
#include "../io/client.h"

#define LOAD_MAX_CLASSES 8
#define LOAD_MAX_WORKSPACES 64
#define LOAD_MAX_PHASES 4

/* Arrival rate from from_s until the next phase begins. */
typedef struct load_phase_t {
    double from_s, rate_per_s;
} load_phase_t;

typedef struct load_class_t {
    const char* name;
    const char* path;  /* request path */
    const char* model; /* NULL: a plain service */
    bool is_run_once;  /* not repeatable: sent under an idempotency key of a ticket */
    bool is_stream;
    uint32_t deadline_ms;
    double weight;      /* weight in the goodput of a response delivered in time */
    double mean_tokens; /* mean length of a response; exponential distribution, at least 4 */
    double max_tokens;  /* cap of the distribution; 0: 8 times the mean */
    load_phase_t phases[LOAD_MAX_PHASES];
} load_class_t;

typedef struct load_workspace_t {
    const char* token;
    double share; /* relative share of the arrivals */
} load_workspace_t;

typedef struct load_desc_t {
    load_class_t classes[LOAD_MAX_CLASSES];
    uint32_t class_count;
    load_workspace_t workspaces[LOAD_MAX_WORKSPACES];
    uint32_t workspace_count;
    const char* seeds[16]; /* host addresses (IP:PORT) for the first lookup; NULL-terminated */
    double duration_s;     /* time span of the arrivals */
    uint32_t callers;      /* simulated callers, each with a lookup response of its own; 0: 40 */
    uint64_t seed;         /* seed of the random numbers */
    void (*on_progress)(void* user_data, double at_s); /* called every 100 ms; may be NULL */
    void* user_data;
} load_desc_t;

/* Counts of requests by outcome. refused: did not run. failed: reported as failed by Chalkway-Outcome. truncated: the
   response has status 200 and is truncated. mismatched: the response has the wrong content. unknown: all others that
   may have run. delivered includes in_time. */
typedef struct load_class_result_t {
    uint32_t sent, delivered, in_time, refused, unknown, failed, mismatched, truncated;
    uint64_t tokens; /* tokens of delivered responses */
    cw_hist_t total_ms, first_ms;
} load_class_result_t;

typedef struct load_result_t {
    load_class_result_t classes[LOAD_MAX_CLASSES];
    double workspace_tokens[LOAD_MAX_WORKSPACES]; /* tokens of delivered responses */
    uint32_t retries;
    uint32_t lag_p99_ms; /* lateness of the generator itself: actual minus planned send time */
    double duration_s;
} load_result_t;

/* A planned request; token_count is 0 for services. */
typedef struct load_arrival_t {
    double at_s;
    uint32_t class_index, workspace, token_count;
} load_arrival_t;

/* Plans the arrivals, sorted by time; equal descriptions and seeds give equal plans. The caller frees the plan. */
load_arrival_t* load_plan(const load_desc_t* desc, uint32_t* count);
/* Generates the load on the default event loop; returns when every request has ended. */
load_result_t load_run(const load_desc_t* desc);

#endif
