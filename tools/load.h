#ifndef CW_TOOLS_LOAD_H
#define CW_TOOLS_LOAD_H
/*
    Open-loop load: requests leave at times fixed beforehand, whatever
    happened to the earlier ones. Callers behave as real ones do: they look
    up addresses and keep the answer for its time, connect to the first,
    move on to the next when nothing was sent, come back when they are told
    to, and never repeat a call that may have run. Every answer is checked
    byte for byte against its own request.
*/
#include <ev.h>

#include "../chalkway_hist.h"
#include "../io/client.h"

#define LOAD_MAX_CLASSES 8
#define LOAD_MAX_WORKSPACES 64
#define LOAD_MAX_PHASES 4

/* Rate of arrivals from a time on. */
typedef struct load_phase_t {
    double from_s, rate;
} load_phase_t;

typedef struct load_class_t {
    const char* name;
    const char* path;  /* of the request */
    const char* model; /* NULL: a plain service */
    bool once;         /* may not be repeated: sent under a ticket's name */
    bool stream;
    uint32_t deadline_ms;
    double weight;     /* in goodput */
    double length;     /* mean of the answer's tokens, exponential, at least 4 */
    double max_length; /* longest, default 8 times the mean */
    load_phase_t phases[LOAD_MAX_PHASES];
} load_class_t;

typedef struct load_workspace_t {
    const char* token;
    double share; /* of the arrivals */
} load_workspace_t;

typedef struct load_desc_t {
    load_class_t classes[LOAD_MAX_CLASSES];
    uint32_t class_count;
    load_workspace_t workspaces[LOAD_MAX_WORKSPACES];
    uint32_t workspace_count;
    const char* seeds[16]; /* addresses for the first lookup, ends with NULL */
    double seconds;        /* of arrivals */
    uint32_t callers;      /* that keep a lookup answer each, default 40 */
    uint64_t seed;
    void (*on_time)(void* user_data, double at_s); /* each 100 ms; may be NULL */
    void* user_data;
} load_desc_t;

typedef struct load_class_result_t {
    uint32_t sent, delivered, in_time, refused, unknown, failed, wrong, cut;
    uint64_t tokens; /* of whole answers */
    cw_hist_t total_ms, first_ms;
} load_class_result_t;

typedef struct load_result_t {
    load_class_result_t classes[LOAD_MAX_CLASSES];
    double workspace_tokens[LOAD_MAX_WORKSPACES]; /* delivered, of engines */
    uint32_t retries;
    uint32_t lag_p99_ms; /* the load tool's own lateness */
    double seconds;
} load_result_t;

/* One request of the plan. */
typedef struct load_arrival_t {
    double at_s;
    uint32_t class_index, workspace, length;
} load_arrival_t;

/* The arrivals of a description, the same for the same seed; to be freed. */
load_arrival_t* load_plan(const load_desc_t* desc, uint32_t* count);
/* Runs the load on the default loop until every request has ended. */
load_result_t load_run(const load_desc_t* desc);

#endif
