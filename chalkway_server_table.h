#ifndef CHALKWAY_SERVER_TABLE_H
#define CHALKWAY_SERVER_TABLE_H
/*
    chalkway_server_table.h -- the servers of a pool with their state in this host

    WHAT IT IS
        The table of a pool's servers: for each, what the configuration source
        published, what this host runs there, what its peers reported, and what
        was learned. A server keeps its index while it is listed, runs requests
        or throttles this host. Also the types of a request's demand, of a
        running request and of a load, which the modules about servers share.

    HOW TO USE IT
            cw_server_table_t t = cw_server_table_setup(max_servers, &allocator);
            cw_server_table_set(&t, now_ms, specs, count);
            uint32_t at = cw_server_table_find(&t, id);
            if (at != CW_BALANCE_NONE) {
                cw_pool_server_t* s = &t.servers[at];
            }
            cw_server_table_shutdown(&t);

    WHAT IT DOES NOT DO
        It neither learns nor chooses: chalkway_server_learning.h updates the
        learned fields, chalkway_server_load.h the reports, chalkway_balance.h
        the others.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_backlog.h"
#include "chalkway_backoff.h"
#include "chalkway_core.h"
#include "chalkway_forecast.h"
#include "chalkway_gap_forecast.h"
#include "chalkway_gap_limits.h"
#include "chalkway_limit.h"
#include "chalkway_map.h"
#include "chalkway_prefix.h"
#include "chalkway_rate.h"
#include "chalkway_reject_limit.h"
#include "chalkway_suspect.h"

#define CW_BALANCE_NONE UINT32_MAX
#define CW_PROMPT_PARTS 8

/* A server as published by the configuration source. */
typedef struct cw_server_spec_t {
    uint64_t id;   /* id of this incarnation of the server */
    uint64_t hall; /* id of the hall's name */
    uint32_t slots;
    uint32_t memory_tokens;    /* 0: not an engine */
    uint32_t cold_ms;          /* remaining slow start, from now */
    double cold_per_s;         /* rate limit during slow start, over all hosts, requests per second; 0: no limit */
    double fetch_ms_per_token; /* time to fetch one cached token from another server; 0: not supported */
    uint64_t version;          /* id of the version of its software */
    int64_t settled_ms;        /* time from which resumable streams may begin there (chalkway_pool_versions.h) */
} cw_server_spec_t;

/* Demand of a request, as far as the choice depends on it. All zero for a plain call. */
typedef struct cw_work_t {
    uint32_t urgency; /* as sent to engines: 0 is prefilled first and preempted last */
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    uint32_t target_ms;   /* target for the time to the first byte */
    uint32_t gap_ms;      /* gap limit: longest accepted gap between events; 0: none */
    bool repeatable;      /* a failed attempt may be retried, so a recent failure of a server weighs half */
    bool is_late;         /* it waited so long for a slot that it can hardly meet its target (chalkway_queue_order.h) */
    bool is_light;        /* its class needs few slots, see cw_balance_is_light */
    bool begins_stream;   /* it begins a stream that may be resumed: only servers of settled versions */
    bool accepts_doubted; /* it may begin a stream at a server whose version is in doubt, too */
    bool needs_observed;  /* with version: only servers whose end this host would have noticed */
    uint64_t version;     /* it resumes a stream: only servers of this version; 0: of any */
    uint64_t rendezvous_key; /* if not 0, the server is chosen by rendezvous hashing of this key, not by cost */
    uint32_t part_count;
    cw_prompt_part_t parts[CW_PROMPT_PARTS]; /* the prompt from its start */
} cw_work_t;

/* Unit of the backlogs in a load. */
typedef enum cw_load_unit_t {
    CW_LOAD_UNIT_MS = 0, /* ms */
    CW_LOAD_UNIT_TOKENS  /* CW_FORECAST_UNIT_TOKENS prompt tokens */
} cw_load_unit_t;

/* Load of one host at one server. */
typedef struct cw_load_t {
    uint32_t running;
    uint32_t gap_ms;                        /* strictest gap limit of the host's streams at the server; 0: none */
    uint32_t streaming;                     /* streams with that gap limit */
    uint32_t backlog_ms[CW_URGENCY_LEVELS]; /* by urgency: unanswered prompts at least as urgent, in backlog_unit */
    cw_load_unit_t backlog_unit;
    uint32_t longest_prompt_tokens; /* tokens of the longest unanswered prompt */
    uint32_t tokens;                /* tokens of memory that the host's running requests use or will use */
    uint32_t event_interval_us;     /* learned event interval while the server prefills nothing; 0: unknown */
    uint32_t pace_ns;               /* time per prompt token in a fresh sample (chalkway_forecast.h); 0: none */
    uint32_t pending_units;    /* tokens of all unanswered prompts that were not cached, in CW_FORECAST_UNIT_TOKENS */
    uint32_t longest_gap_ms;   /* fresh estimate of the longest gap of a stream (chalkway_gap_forecast.h); 0: none */
    uint32_t failed_ago_ms;    /* time since a connection of the host to the server last failed; 0: not recently */
    uint32_t answered_ago_ms;  /* time since the host sent the last request that the server answered; 0: not recently */
    cw_rate_state_t rate;      /* state of the server's advertised rate in recent responses to this host */
    uint32_t rate_per_ks;      /* the advertised rate, requests per 1,000 s */
    uint32_t rate_ago_ms;      /* age of the observation in rate and rate_per_ks */
    uint32_t has_reject_limit; /* 1: the server advertised a limit on rejections in recent responses to this host */
    uint32_t reject_limit_per_s;  /* that limit */
    uint32_t reject_limit_ago_ms; /* time since it was last advertised to this host */
    uint32_t rejections;          /* requests of this host that the server rejected within the last second */
} cw_load_t;

/* The urgency by which a request is queued: a late one goes last and delays no other request. */
static inline uint32_t cw_work_queue_urgency(const cw_work_t* work) {
    return work->is_late ? CW_URGENCY_LEVELS - 1 : work->urgency;
}

typedef enum cw_try_result_t {
    CW_TRY_SERVED = 0,  /* the whole response arrived */
    CW_TRY_FAILED,      /* time-out, malformed bytes or an error of the server */
    CW_TRY_BROKEN,      /* the connection broke before the end: the server may be gone */
    CW_TRY_UNREACHABLE, /* no connection could be established */
    CW_TRY_FULL,        /* the server refused it for lack of capacity and did not run it */
    CW_TRY_CANCELLED    /* ended by this side: no evidence about the server */
} cw_try_result_t;

/* A request that runs at a server. */
typedef struct cw_run_t {
    uint32_t server; /* CW_BALANCE_NONE: none */
    uint64_t id;     /* id of the server; its index may pass to another server once it was removed */
    int64_t begun_ms;
    uint32_t urgency;
    double prefill_ms; /* predicted prefill time of the prompt */
    cw_backlog_plan_t plan;
    cw_forecast_plan_t forecast;
    cw_gap_stream_t stream;
    double expected_ms; /* predicted time from the start to the first event */
    /* Backlog of all urgencies at the start, since an engine may finish a chunk of any prompt first. */
    double backlog_ahead_ms;
    bool is_unqueued;         /* nothing known could delay the prompt: no backlog, busy slots, slow start or fetch */
    uint32_t uncached_tokens; /* tokens of the prompt that are neither cached nor fetched */
    uint32_t tokens;
    uint32_t gap_ms;
    bool answered;
    int64_t last_event_ms;             /* time of the last event of the response */
    uint32_t concurrent_prompt_tokens; /* tokens of the longest prompt in prefill at the server at last_event_ms */
} cw_run_t;

/* The last load report of another host. */
typedef struct cw_load_report_t {
    uint64_t peer;
    int64_t at_ms; /* time of arrival */
    cw_load_t load;
} cw_load_report_t;

/* A server and its state as this host knows it. All zero: an entry that is not in use. */
typedef struct cw_pool_server_t {
    cw_server_spec_t spec;
    bool is_used;      /* the table entry is in use */
    bool is_listed;    /* it may be chosen */
    uint32_t position; /* in the fill order, which is the same in all hosts */
    uint32_t running;
    cw_gap_limits_t gap_limits; /* gap limits of this host's streams that have begun */
    uint64_t tokens;
    cw_forecast_t forecast;
    cw_gap_forecast_t gap_forecast;
    cw_backlog_t backlog;           /* this host's prompts, from sending to the first byte */
    uint32_t longest_prompt_tokens; /* tokens of the longest prompt in backlog; 0 when there is none */
    double event_interval_ms;       /* learned event interval while the server prefills nothing; 0: unknown */
    uint32_t interval_samples;
    double slowdown;        /* time that requests take, relative to the other servers; 1: the same */
    int64_t slowdown_at_ms; /* time of the last update of slowdown */
    double failure_ratio;   /* 0..1 */
    int64_t failure_at_ms;
    bool has_idle_connection;
    bool is_doubted;    /* it may have started again, at another version than spec says (chalkway_continuity.h) */
    bool is_observed;   /* this host has a connection to it, and would notice its end */
    bool may_not_begin; /* no stream that can be resumed begins there while another server can be used */
    bool is_unreachable;
    uint32_t probe_interval_ms;
    int64_t next_probe_ms;
    int64_t full_until_ms;
    bool is_owner_host;           /* this host is an owner host of the server, as of owner_fleet_version */
    uint64_t owner_fleet_version; /* fleet_version at which is_owner_host was determined; 0: not yet */
    cw_suspect_t suspicion;       /* by the reports of all hosts */
    int64_t own_failed_ms;        /* last failure that this host observed, as reported to its peers; 0: none */
    int64_t own_answered_ms;      /* sending time of this host's last request that the server answered; 0: none */
    cw_rate_t rate;
    cw_backoff_t backoff;
    cw_reject_limit_t reject_limit;
    int64_t cold_until_ms;
    cw_bucket_t cold;          /* rate limit until cold_until_ms */
    uint64_t prefilled_tokens; /* all tokens prefilled there, as far as known */
    cw_load_report_t* reports; /* of hosts with load there; most servers of a large pool have none */
    uint32_t report_count, report_capacity;
} cw_pool_server_t;

/* A listed server and its sort key. */
typedef struct cw_server_order_t {
    uint64_t key;
    uint32_t at;
} cw_server_order_t;

/* The servers by index. Entries that are not in use lie between those that are. */
typedef struct cw_server_table_t {
    cw_allocator_t allocator;
    uint32_t max_servers;
    cw_pool_server_t* servers;
    cw_server_order_t* order; /* scratch space to sort the servers */
    float* paces;             /* scratch space for a figure of each server */
    uint64_t* scores;         /* scratch space to rank the servers for a prompt part */
    cw_map_t index;           /* id to index in servers */
    uint32_t capacity;        /* allocated entries of servers */
    uint32_t entry_count;     /* entries of servers from its start that may be in use */
    uint32_t unreachable_count;
    uint32_t first_free; /* all entries before it are in use */
    uint32_t listed_count, listed_engines;
} cw_server_table_t;

/* An empty table for at most max_servers servers. Its memory grows with the number in use. Pointers to servers are
   valid until the next cw_server_table_set. The allocator must outlive the table. */
cw_server_table_t cw_server_table_setup(uint32_t max_servers, const cw_allocator_t* allocator);
void cw_server_table_shutdown(cw_server_table_t* t);
/* Replaces the list of servers; servers that stay in it keep their state, and the others are removed once they neither
   run requests nor throttle this host. Determines the fill order. CW_ERR_FULL when there are too many. */
cw_status_t cw_server_table_set(cw_server_table_t* t, int64_t now_ms, const cw_server_spec_t* specs, uint32_t count);
/* Index of a server; CW_BALANCE_NONE when it is not known. */
uint32_t cw_server_table_find(const cw_server_table_t* t, uint64_t id);
/* Whether the server takes requests up to its slots: it is neither unreachable nor throttling. */
bool cw_server_is_unthrottled(const cw_pool_server_t* s, int64_t now_ms);

#endif /* CHALKWAY_SERVER_TABLE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_TABLE_IMPL_INCLUDED
#define CHALKWAY_SERVER_TABLE_IMPL_INCLUDED

#include <stdlib.h>
#include <string.h>

/* Slow start. */
#define _CW_COLD_SHARE 0.8 /* of cold_per_s: two hosts may briefly both consider themselves the server's owner */
#define _CW_COLD_BURST 2.0 /* requests at once */

#define _CW_SERVERS_CAPACITY 64 /* initial capacity, servers */

cw_server_table_t cw_server_table_setup(uint32_t max_servers, const cw_allocator_t* allocator) {
    cw_server_table_t t = {.allocator = *allocator, .max_servers = max_servers};
    t.capacity = max_servers < _CW_SERVERS_CAPACITY ? max_servers : _CW_SERVERS_CAPACITY;
    t.servers = cw_alloc(allocator, t.capacity, sizeof(*t.servers));
    t.order = cw_alloc(allocator, t.capacity, sizeof(*t.order));
    t.paces = cw_alloc(allocator, t.capacity, sizeof(*t.paces));
    t.scores = cw_alloc(allocator, t.capacity, sizeof(*t.scores));
    t.index = cw_map_setup(t.capacity, allocator);
    return t;
}

void cw_server_table_shutdown(cw_server_table_t* t) {
    for (uint32_t i = 0; i < t->capacity; i++) {
        cw_free(&t->allocator, t->servers[i].reports);
    }
    cw_map_shutdown(&t->index);
    cw_free(&t->allocator, t->paces);
    cw_free(&t->allocator, t->order);
    cw_free(&t->allocator, t->scores);
    cw_free(&t->allocator, t->servers);
}

uint32_t cw_server_table_find(const cw_server_table_t* t, uint64_t id) {
    uint32_t at = id ? cw_map_get(&t->index, id) : CW_MAP_NONE;
    return at == CW_MAP_NONE ? CW_BALANCE_NONE : at;
}

static void _cw_server_table_remove(cw_server_table_t* t, uint32_t at) {
    cw_pool_server_t* s = &t->servers[at];
    cw_map_remove(&t->index, s->spec.id);
    t->unreachable_count -= s->is_unreachable;
    cw_load_report_t* reports = s->reports;
    uint32_t report_capacity = s->report_capacity;
    memset(s, 0, sizeof(*s));
    s->reports = reports;
    s->report_capacity = report_capacity;
    t->first_free = at < t->first_free ? at : t->first_free;
}

/* Doubles the capacity, up to max_servers. */
static void _cw_server_table_grow(cw_server_table_t* t) {
    const cw_allocator_t* allocator = &t->allocator;
    uint32_t capacity = t->capacity < t->max_servers / 2 ? 2 * t->capacity : t->max_servers;
    cw_pool_server_t* servers = cw_alloc(allocator, capacity, sizeof(*servers));
    memcpy(servers, t->servers, t->capacity * sizeof(*servers));
    cw_free(allocator, t->servers);
    /* Scratch space is filled anew with each use: nothing to copy. */
    cw_free(allocator, t->order);
    cw_free(allocator, t->paces);
    cw_free(allocator, t->scores);
    t->servers = servers;
    t->order = cw_alloc(allocator, capacity, sizeof(*t->order));
    t->paces = cw_alloc(allocator, capacity, sizeof(*t->paces));
    t->scores = cw_alloc(allocator, capacity, sizeof(*t->scores));
    cw_map_reserve(&t->index, capacity);
    t->capacity = capacity;
}

static uint32_t _cw_server_table_add(cw_server_table_t* t, uint64_t id) {
    if (t->index.count == t->capacity && t->capacity < t->max_servers) {
        _cw_server_table_grow(t);
    }
    for (uint32_t i = t->first_free; i < t->capacity; i++) {
        cw_pool_server_t* s = &t->servers[i];
        if (s->is_used) {
            continue;
        }
        t->first_free = i + 1;
        s->report_count = 0;
        s->is_used = true;
        s->slowdown = 1;
        s->spec.id = id;
        cw_map_put(&t->index, id, i);
        t->entry_count = i >= t->entry_count ? i + 1 : t->entry_count;
        return i;
    }
    return CW_BALANCE_NONE;
}

static int _cw_server_order_compare(const void* left, const void* right) {
    uint64_t a = ((const cw_server_order_t*)left)->key;
    uint64_t b = ((const cw_server_order_t*)right)->key;
    return (a > b) - (a < b);
}

/* Computes the fill order: it depends on the servers' ids only, so it is the same in all hosts. */
static void _cw_server_table_sort(cw_server_table_t* t) {
    t->listed_count = 0;
    t->listed_engines = 0;
    for (uint32_t i = 0; i < t->entry_count; i++) {
        if (t->servers[i].is_listed) {
            t->listed_engines += t->servers[i].spec.memory_tokens > 0;
            t->order[t->listed_count++] = (cw_server_order_t){.key = cw_mix(t->servers[i].spec.id, 1), .at = i};
        }
    }
    qsort(t->order, t->listed_count, sizeof(*t->order), _cw_server_order_compare);
    for (uint32_t i = 0; i < t->listed_count; i++) {
        t->servers[t->order[i].at].position = i;
    }
}

cw_status_t cw_server_table_set(cw_server_table_t* t, int64_t now_ms, const cw_server_spec_t* specs, uint32_t count) {
    cw_status_t status = CW_OK;
    for (uint32_t i = 0; i < t->entry_count; i++) {
        t->servers[i].is_listed = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        uint32_t at = cw_server_table_find(t, specs[i].id);
        at = at == CW_BALANCE_NONE ? _cw_server_table_add(t, specs[i].id) : at;
        if (at == CW_BALANCE_NONE) {
            status = CW_ERR_FULL;
            continue;
        }
        cw_pool_server_t* s = &t->servers[at];
        s->spec = specs[i];
        s->is_listed = true;
        s->cold_until_ms = specs[i].cold_ms ? now_ms + specs[i].cold_ms : s->cold_until_ms;
        s->cold.rate = _CW_COLD_SHARE * specs[i].cold_per_s;
        s->cold.burst = _CW_COLD_BURST;
    }
    for (uint32_t i = 0; i < t->entry_count; i++) {
        cw_pool_server_t* s = &t->servers[i];
        bool is_throttling = now_ms < s->backoff.until_ms || cw_rate_is_active(&s->rate, now_ms);
        if (s->is_used && !s->is_listed && !s->running && !is_throttling) {
            _cw_server_table_remove(t, i);
        }
    }
    _cw_server_table_sort(t);
    return status;
}

bool cw_server_is_unthrottled(const cw_pool_server_t* s, int64_t now_ms) {
    return s->is_used && s->is_listed && !s->is_unreachable && now_ms >= s->backoff.until_ms &&
           !cw_rate_is_active(&s->rate, now_ms);
}

#endif /* CHALKWAY_SERVER_TABLE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
