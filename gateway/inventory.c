#include "inventory.h"

#include <stdio.h>
#include <stdlib.h>

#include "../io/address.h"
#include "../io/client.h"
#include "clock.h"

#define SETTLE_DELAY_MS 300
#define MAX_CALLS 2            /* at the same time: an engine's list may be long, and this host has requests to serve */
#define CALL_TIMEOUT_MS 1000   /* longest time for one engine's list */
#define CONNECT_TIMEOUT_MS 300 /* longest time to connect to an engine */
#define LIST_MAX_BYTES (1 << 20) /* a longer list is not read */
#define FAILED_MAX 64            /* versions of engines that failed, over all pools */
#define IDLE_CLIENTS 1           /* idle connections that stay open, few since each engine is queried once */

/* The version of a pool's engines that failed to reply. */
typedef struct failed_t {
    uint64_t pool, version;
} failed_t;

typedef struct call_t {
    inventory_t* inventory;
    uint64_t server;
    bool is_for_runs;
    cw_call_t* call; /* NULL: not in use */
    cw_buffer_t body;
    unsigned status;
} call_t;

struct inventory_t {
    inventory_desc_t desc;
    cw_client_t* client;
    int64_t engines_known_ms; /* since when engines are known; 0: not yet */
    uint64_t* pending;
    uint32_t pending_count;
    uint32_t max_parts; /* most parts recorded of one engine */
    bool is_listed;     /* pending holds the engines to query */
    call_t calls[MAX_CALLS];
    failed_t failed[FAILED_MAX];
    uint32_t failed_count;
    bool has_more_failed;  /* than there is room for: any pool may be concerned */
    bool is_checked;       /* engines that were not asked have been searched for */
    uint64_t checked_view; /* the view of the fleet then */
    bool has_unasked;      /* there are some */
    inventory_stats_t stats;
};

static void start_call(inventory_t* v, call_t* c, const server_t* server, bool is_for_runs);

/* -- responses ------------------------------------------------------------ */

/* A list of an engine; for a list of runs see on_runs. */
typedef struct parts_t {
    cw_prompt_part_t* items;
    uint32_t count, capacity;
} parts_t;

static void add_part(void* user, const cw_prompt_part_t* part) {
    parts_t* parts = user;
    if (parts->count == parts->capacity) {
        parts->capacity = parts->capacity ? 2 * parts->capacity : INVENTORY_PARTS_PER_ENGINE;
        parts->items = realloc(parts->items, parts->capacity * sizeof(*parts->items));
        if (!parts->items) {
            abort();
        }
    }
    parts->items[parts->count++] = *part;
}

static void record_parts(inventory_t* v, server_t* server, parts_t* parts) {
    uint32_t count = parts->count < v->max_parts ? parts->count : v->max_parts;
    cw_prompt_part_t* last = parts->items + (parts->count - count);
    v->stats.parts += count;
    cw_log(v->desc.log, CW_EVENT_INVENTORY, "server=%s pool=%s parts=%u listed=%u", server->published.id,
           server->pool->name, count, parts->count);
    if (parts->count && v->desc.on_listed_parts) {
        v->desc.on_listed_parts(v->desc.user_data, server, parts->items, parts->count);
    }
    for (uint32_t i = 0; i < count; i++) {
        last[i].tokens = 0; /* the engine computed them earlier and evicts nothing for them now */
    }
    if (count) {
        v->desc.on_cached_parts(v->desc.user_data, server, last, count);
    }
}

static void remember_failed(inventory_t* v, const server_t* server) {
    const failed_t failed = {.pool = server->pool->id, .version = cw_server_version_id(&server->published)};
    for (uint32_t i = 0; i < v->failed_count; i++) {
        if (v->failed[i].pool == failed.pool && v->failed[i].version == failed.version) {
            return;
        }
    }
    if (v->failed_count == FAILED_MAX) {
        v->has_more_failed = true;
        return;
    }
    v->failed[v->failed_count++] = failed;
}

uint32_t inventory_count_failed(const inventory_t* v, uint64_t pool, uint64_t* version) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < v->failed_count; i++) {
        if (v->failed[i].pool == pool) {
            *version = v->failed[i].version;
            count++;
        }
    }
    return count < 2 && !v->has_more_failed ? count : 2;
}

static void log_failure(inventory_t* v, const server_t* server, const char* why) {
    v->stats.failed++;
    if (server) {
        remember_failed(v, server);
    }
    cw_log(v->desc.log, CW_EVENT_INVENTORY_FAILED, "step=inventory server=%s peer=%s reason=\"%s\"",
           server ? server->published.id : "-", server ? server->published.address : "-", why);
}

static bool on_data(void* user, const char* data, size_t size) {
    cw_buffer_add(&((call_t*)user)->body, data, size);
    return true;
}

static void on_head(void* user, unsigned status, const char* content_type) {
    (void)content_type;
    ((call_t*)user)->status = status;
}

static void add_run(void* user, const char* request_id, uint32_t events) {
    const cw_prompt_part_t run = {.id = cw_name_id(request_id), .tokens = events};
    add_part(user, &run);
}

static cw_status_t read_items(const call_t* c, parts_t* items, int64_t* started_ms, cw_error_t* err) {
    const dialect_t* dialect = c->inventory->desc.dialect;
    const char* body = cw_buffer_text(&c->body);
    return c->is_for_runs ? dialect->read_runs(body, c->body.size, started_ms, add_run, items, err)
                          : dialect->read_inventory(body, c->body.size, started_ms, add_part, items, err);
}

/* Whether another process than the listed one has responded. upstreams.c doesn't check that of a server that leaves. */
static bool is_other_incarnation(const inventory_t* v, server_t* server, int64_t started_ms) {
    bool differs = started_ms && server->published.started_ms && started_ms != server->published.started_ms;
    return upstreams_check_incarnation(v->desc.upstreams, clock_ms(), server, started_ms) || differs;
}

/* A list of parts or of runs has arrived. server: NULL if it is not known any more. */
static void on_list(call_t* c, server_t* server) {
    inventory_t* v = c->inventory;
    cw_error_t err = {0};
    int64_t started_ms = 0;
    parts_t items = {0};
    if (read_items(c, &items, &started_ms, &err) != CW_OK) {
        log_failure(v, server, err.message);
    } else if (server && is_other_incarnation(v, server, started_ms)) {
        log_failure(v, server, "another incarnation of the server responded");
    } else if (server && server->is_listed && c->is_for_runs) {
        v->desc.on_runs(v->desc.user_data, server, items.items, items.count);
    } else if (server && server->is_listed) {
        record_parts(v, server, &items);
    } else if (server) {
        server->is_inventoried = false; /* the list is dropped, but the entry may return */
    }
    free(items.items);
}

static void on_done(void* user, const cw_call_result_t* result) {
    call_t* c = user;
    inventory_t* v = c->inventory;
    server_t* server = upstreams_server(v->desc.upstreams, c->server);
    c->call = NULL;
    if (!result->is_complete || c->status != 200) {
        log_failure(v, server, result->is_complete ? "the response status is not 200" : result->message);
    } else {
        on_list(c, server);
    }
    cw_buffer_free(&c->body);
    if (c->is_for_runs && server) {
        start_call(v, c, server, false);
    }
}

/* -- queries -------------------------------------------------------------- */

static void start_call(inventory_t* v, call_t* c, const server_t* server, bool is_for_runs) {
    const dialect_t* dialect = v->desc.dialect;
    char url[256];
    snprintf(url, sizeof(url), "http://%s%s", server->published.address,
             is_for_runs ? dialect->runs_path : dialect->inventory_path);
    *c = (call_t){.inventory = v, .server = server->key, .is_for_runs = is_for_runs};
    v->stats.queried++;
    c->call = cw_client_call(v->client, &(cw_call_desc_t){.url = url,
                                                          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                                          .timeout_ms = CALL_TIMEOUT_MS,
                                                          .max_body_bytes = LIST_MAX_BYTES,
                                                          .on_head = on_head,
                                                          .on_data = on_data,
                                                          .on_done = on_done,
                                                          .user_data = c});
}

static bool has_engines(const inventory_t* v) {
    for (const pool_t* pool = upstreams_pools(v->desc.upstreams); pool; pool = pool->next) {
        if (pool->slots && pool->ready) {
            return true;
        }
    }
    return false;
}

/* Lists the engines that this daemon owns, for the fleet as it is known now. */
static void list_owned_engines(inventory_t* v) {
    uint32_t engines = 0;
    v->is_listed = true;
    for (const pool_t* pool = upstreams_pools(v->desc.upstreams); pool; pool = pool->next) {
        for (const server_t* s = pool->slots ? pool->servers : NULL; s; s = s->next) {
            engines += !s->is_removed;
            if (!s->is_listed || s->is_inventoried || !v->desc.owns_server(v->desc.user_data, s->key)) {
                continue;
            }
            uint64_t* grown = realloc(v->pending, (v->pending_count + 1) * sizeof(*grown));
            if (!grown) {
                abort();
            }
            v->pending = grown;
            v->pending[v->pending_count++] = s->key;
        }
    }
    uint32_t share = INVENTORY_PARTS_TOTAL / (engines ? engines : 1);
    v->max_parts = share < 1 ? 1 : share > INVENTORY_PARTS_PER_ENGINE ? INVENTORY_PARTS_PER_ENGINE : share;
}

static bool needs_runs(const inventory_t* v) {
    return v->desc.dialect->runs_path && v->desc.needs_runs && v->desc.needs_runs(v->desc.user_data);
}

/* Starts queries while calls are free; returns how many are in progress. Ownership is checked again, because engines
   pass to other hosts as this one gets to know more peers. */
static uint32_t start_pending_calls(inventory_t* v) {
    uint32_t busy = 0;
    for (uint32_t i = 0; i < MAX_CALLS; i++) {
        while (!v->calls[i].call && v->pending_count) {
            server_t* server = upstreams_server(v->desc.upstreams, v->pending[--v->pending_count]);
            if (server && server->is_listed && v->desc.owns_server(v->desc.user_data, server->key)) {
                server->is_inventoried = true;
                start_call(v, &v->calls[i], server, needs_runs(v));
            }
        }
        busy += v->calls[i].call != NULL;
    }
    return busy;
}

static bool has_converged(const inventory_t* v) {
    return !v->desc.is_converged || v->desc.is_converged(v->desc.user_data);
}

void inventory_tick(inventory_t* v, int64_t now_ms) {
    if (!v->desc.dialect->inventory_path) {
        return;
    }
    if (v->has_unasked) {
        v->is_listed = v->stats.is_done = v->has_unasked = v->is_checked = false;
    }
    if (v->stats.is_done) {
        return;
    }
    if (!v->engines_known_ms) {
        v->engines_known_ms = has_engines(v) ? now_ms : 0;
        return;
    }
    if (now_ms - v->engines_known_ms < v->desc.settle_delay_ms || !has_converged(v)) {
        return;
    }
    if (!v->is_listed) {
        list_owned_engines(v);
    }
    v->stats.is_done = !start_pending_calls(v) && !v->pending_count;
}

/* -- setup ---------------------------------------------------------------- */

inventory_t* inventory_setup(const inventory_desc_t* desc) {
    inventory_t* v = calloc(1, sizeof(*v));
    if (!v) {
        abort();
    }
    v->desc = *desc;
    v->desc.settle_delay_ms = desc->settle_delay_ms ? desc->settle_delay_ms : SETTLE_DELAY_MS;
    v->client = cw_client_setup(desc->loop, IDLE_CLIENTS);
    return v;
}

/* What the engines of a host told it is lost with that host: they pass to others. */
static bool has_unasked_engines(const inventory_t* v) {
    for (const pool_t* pool = upstreams_pools(v->desc.upstreams); pool; pool = pool->next) {
        for (const server_t* s = pool->slots ? pool->servers : NULL; s; s = s->next) {
            if (s->is_listed && !s->is_inventoried && v->desc.owns_server(v->desc.user_data, s->key)) {
                return true;
            }
        }
    }
    return false;
}

/* Differs from an earlier value if engines may have passed to this host since. An engine whose entry was gone and has
   returned may be another record, so the changes of the list are counted. */
static uint64_t view_of_fleet(const inventory_t* v) {
    uint64_t view = v->desc.fleet_set ? v->desc.fleet_set(v->desc.user_data) : 0;
    for (const pool_t* pool = upstreams_pools(v->desc.upstreams); pool; pool = pool->next) {
        view = pool->slots ? cw_mix(view, pool->listed_changes) : view;
    }
    return view;
}

bool inventory_is_complete(inventory_t* v) {
    if (!v->desc.dialect->inventory_path) {
        return true;
    }
    uint64_t view = view_of_fleet(v);
    if (v->stats.is_done && (!v->is_checked || view != v->checked_view)) {
        v->is_checked = true;
        v->checked_view = view;
        v->has_unasked = has_unasked_engines(v);
    }
    return v->stats.is_done && !v->has_unasked;
}

inventory_stats_t inventory_stats(const inventory_t* v) {
    return v->stats;
}

void inventory_shutdown(inventory_t* v) {
    for (uint32_t i = 0; i < MAX_CALLS; i++) {
        if (v->calls[i].call) {
            cw_call_cancel(v->calls[i].call);
            cw_buffer_free(&v->calls[i].body);
        }
    }
    cw_client_shutdown(v->client);
    free(v->pending);
    free(v);
}
