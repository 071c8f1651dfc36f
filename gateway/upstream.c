#include "upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../io/address.h"
#include "clock.h"
#include "upstream_internal.h"

#define MS_PER_S 1000.0
#define PROBE_TIMEOUT_MS 1000
#define PROBE_BODY_MAX_BYTES (1U << 20) /* of the response to a health check; a longer one fails it */
#define BITS 8.0
#define BITS_PER_MS_MBPS 1000.0 /* bits per millisecond at 1 Mbit/s */
#define RETURN_GRACE_MS 2000    /* time for servers that went missing during a source outage to be listed again */
#define SUBSET_MIN_SERVERS 1024 /* number of servers used of a larger pool, until a request finds no slot at them */
#define INITIAL_CAPACITY 256    /* servers for which memory is allocated first */
#define REJECTED_LOG_INTERVAL_MS 10000 /* shortest time between log lines about rejected servers */
#define RETRY_BUDGET_SHARE 0.8         /* share of the configured retry budget that is used, as a safety margin */

/* -- servers -------------------------------------------------------------- */

void server_watch(server_t* s) {
    upstreams_t* u = s->pool->upstreams;
    if (!s->is_watched) {
        s->is_watched = true;
        u->watched[u->watched_count++] = s;
    }
}

static void server_free(upstreams_t* u, server_t* s) {
    upstream_path_forget(s);
    for (uint32_t i = 0; s->is_watched && i < u->watched_count; i++) {
        if (u->watched[i] == s) {
            u->watched[i] = u->watched[--u->watched_count];
            s->is_watched = false;
        }
    }
    uint32_t index = cw_map_get(&u->by_key, s->key);
    cw_map_remove(&u->by_key, s->key);
    if (cw_map_get(&u->by_id, s->id_hash) == index) {
        cw_map_remove(&u->by_id, s->id_hash);
    }
    u->servers[index] = NULL;
    u->free_indexes[u->free_count++] = index;
    free(s);
}

/* Remembers a freed incarnation, because an older server list may name it again. */
static void remember_leaving(upstreams_t* u, uint64_t key) {
    u->leaving_keys[u->leaving_next++ % LEAVING_KEYS_MAX] = key;
}

static bool was_leaving(const upstreams_t* u, uint64_t key) {
    for (uint32_t i = 0; i < LEAVING_KEYS_MAX && i < u->leaving_next; i++) {
        if (u->leaving_keys[i] == key) {
            return true;
        }
    }
    return false;
}

static void server_free_if_unused(pool_t* pool, server_t* s) {
    if (!s->is_removed || s->is_listed || s->conn_count || s->is_probing ||
        cw_balance_find(pool->balance, s->key) != CW_BALANCE_NONE) {
        return;
    }
    for (server_t** at = &pool->servers; *at; at = &(*at)->next) {
        if (*at == s) {
            *at = s->next;
            if (s->is_leaving) {
                remember_leaving(pool->upstreams, s->key);
            }
            server_free(pool->upstreams, s);
            return;
        }
    }
}

static void set_retry_budget(pool_t* pool, double ratio, double slack) {
    pool->retries.ratio = ratio * RETRY_BUDGET_SHARE;
    pool->retries.slack = slack * RETRY_BUDGET_SHARE;
}

void upstreams_set_limits(upstreams_t* u, const upstreams_limits_t* limits) {
    u->desc.retry_ratio = limits->retry_ratio;
    u->desc.retry_slack = limits->retry_slack;
    u->desc.backoff_max_ms = limits->backoff_max_ms;
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        set_retry_budget(pool, limits->retry_ratio, limits->retry_slack);
    }
}

static pool_t* pool_get(upstreams_t* u, const char* name) {
    pool_t* pool = upstreams_pool(u, name);
    if (pool) {
        return pool;
    }
    pool = calloc(1, sizeof(*pool));
    if (!pool) {
        abort();
    }
    cw_copy(pool->name, sizeof(pool->name), name);
    pool->id = cw_name_id(name);
    pool->upstreams = u;
    pool->balance = cw_balance_setup(&(cw_balance_desc_t){.hall = u->desc.hall,
                                                          .seed = u->desc.host,
                                                          .max_servers = u->desc.max_servers,
                                                          .forecast = u->desc.forecast,
                                                          .owns_server = u->desc.owns_server,
                                                          .user_data = u->desc.user_data});
    cw_balance_set_fleet(pool->balance, clock_ms(), &u->fleet);
    pool->subset.min_servers = SUBSET_MIN_SERVERS;
    pool->retries = (cw_retry_window_t){.window_ms = u->desc.retry_window_ms, .daemons = u->daemons};
    set_retry_budget(pool, u->desc.retry_ratio, u->desc.retry_slack);
    pool->next = u->pools;
    u->pools = pool;
    return pool;
}

server_t* upstreams_server(const upstreams_t* u, uint64_t key) {
    uint32_t index = key ? cw_map_get(&u->by_key, key) : CW_MAP_NONE;
    return index == CW_MAP_NONE ? NULL : u->servers[index];
}

static uint32_t pool_count_listed(const pool_t* pool) {
    uint32_t count = 0;
    for (const server_t* s = pool->servers; s; s = s->next) {
        count += !s->is_removed && !s->is_hall_closed;
    }
    return count;
}

static void update_versions(pool_t* pool, int64_t now_ms) {
    uint32_t count = 0;
    for (const server_t* s = pool->servers; s; s = s->next) {
        count += s->is_listed;
    }
    uint64_t* versions = calloc(count + 1, sizeof(*versions));
    if (!versions) {
        abort();
    }
    count = 0;
    for (const server_t* s = pool->servers; s; s = s->next) {
        if (s->is_listed) {
            versions[count++] = cw_server_version_id(&s->published);
        }
    }
    cw_pool_versions_update(&pool->versions, now_ms, versions, count);
    free(versions);
}

/* Streams begin at any version where no server of a settled one can be used. */
static void allow_unsettled_if_needed(cw_server_spec_t* specs, uint32_t count, int64_t now_ms) {
    for (uint32_t i = 0; i < count; i++) {
        if (specs[i].settled_ms <= now_ms) {
            return;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        specs[i].settled_ms = 0;
    }
}

/* By what the list says, not by the key, which depends on earlier lists. */
static void update_listed_set(pool_t* pool) {
    uint64_t set = 0;
    for (const server_t* s = pool->servers; s; s = s->next) {
        set ^= s->is_listed ? cw_mix(cw_name_id(s->published.id), cw_server_version_id(&s->published)) : 0;
    }
    pool->listed_changes += set != pool->listed_set;
    pool->listed_set = set;
}

/* Sets the servers that the balancer may choose: of a large pool a subset, which is the same at all hosts. */
static void pool_update_servers(pool_t* pool, int64_t now_ms) {
    update_versions(pool, now_ms);
    update_listed_set(pool);
    pool->listed = pool_count_listed(pool);
    cw_subset_resize(&pool->subset, now_ms, pool->listed);
    cw_server_spec_t* specs = calloc(pool->listed + 1, sizeof(*specs));
    if (!specs) {
        abort();
    }
    uint32_t count = 0;
    for (server_t* s = pool->servers; s; s = s->next) {
        if (!s->is_removed && !s->is_hall_closed && cw_subset_has(&pool->subset, s->key)) {
            uint64_t version = cw_server_version_id(&s->published);
            specs[count++] = (cw_server_spec_t){.id = s->key,
                                                .version = version,
                                                .settled_ms = cw_pool_versions_settled_ms(&pool->versions, version),
                                                .hall = cw_name_id(s->published.hall),
                                                .slots = pool->slots ? pool->slots : s->published.slots,
                                                .memory_tokens = pool->memory_tokens,
                                                .fetch_ms_per_token = pool->fetch_ms_per_token,
                                                .cold_ms = s->published.cold_ms,
                                                .cold_per_s = pool->cold_per_s};
        }
    }
    allow_unsettled_if_needed(specs, count, now_ms);
    pool->ready = count;
    cw_balance_set_servers(pool->balance, now_ms, specs, count);
    for (const server_t* s = pool->servers; s; s = s->next) {
        if (s->continuity.is_doubted || s->continuity.conns) {
            upstream_continuity_inform(s);
        }
    }
    free(specs);
}

bool upstreams_expand_subset(pool_t* pool, int64_t now_ms) {
    if (!cw_subset_expand(&pool->subset, now_ms)) {
        return false;
    }
    uint32_t previous_ready = pool->ready;
    pool_update_servers(pool, now_ms);
    cw_log(pool->upstreams->desc.log, CW_EVENT_POOL_WIDENED, "pool=%s servers=%u was=%u of=%u", pool->name, pool->ready,
           previous_ready, pool->listed);
    return true;
}

/* Doubles the capacity, up to max_servers. */
static void grow_capacity(upstreams_t* u) {
    uint32_t capacity = u->capacity ? u->capacity * 2 : INITIAL_CAPACITY;
    capacity = capacity < u->desc.max_servers ? capacity : u->desc.max_servers;
    u->servers = realloc(u->servers, capacity * sizeof(*u->servers));
    u->free_indexes = realloc(u->free_indexes, capacity * sizeof(*u->free_indexes));
    u->watched = realloc(u->watched, capacity * sizeof(*u->watched));
    if (!u->servers || !u->free_indexes || !u->watched) {
        abort();
    }
    for (uint32_t index = capacity; index-- > u->capacity;) {
        u->servers[index] = NULL;
        u->free_indexes[u->free_count++] = index;
    }
    cw_map_reserve(&u->by_key, capacity);
    cw_map_reserve(&u->by_id, capacity);
    u->capacity = capacity;
}

/* Counts and logs a listed server that exceeds max_servers. */
static void reject_server(upstreams_t* u, const cw_server_t* published) {
    int64_t now_ms = clock_ms();
    u->rejected_unlogged++;
    u->rejected_total++;
    if (!u->rejected_logged_ms || now_ms - u->rejected_logged_ms >= REJECTED_LOG_INTERVAL_MS) {
        cw_log(u->desc.log, CW_EVENT_SERVERS_FULL, "server=%s pool=%s known=%u refused=%llu", published->id,
               published->pool, u->capacity, (unsigned long long)u->rejected_unlogged);
        u->rejected_unlogged = 0;
        u->rejected_logged_ms = now_ms;
    }
}

/* A new server of the pool. NULL: its address is invalid, or max_servers are known. */
static server_t* server_new(upstreams_t* u, const cw_server_t* published) {
    uint64_t key = cw_server_incarnation_id(published);
    struct sockaddr_in address;
    if (cw_addr_parse(published->address, &address, NULL) != CW_OK) {
        return NULL;
    }
    if (!u->free_count && u->capacity < u->desc.max_servers) {
        grow_capacity(u);
    }
    if (!u->free_count) {
        reject_server(u, published);
        return NULL;
    }
    server_t* s = calloc(1, sizeof(*s));
    if (!s) {
        abort();
    }
    uint32_t index = u->free_indexes[--u->free_count];
    u->servers[index] = s;
    s->key = key;
    s->id_hash = cw_name_id(published->id);
    s->published.started_ms = published->started_ms;
    s->is_leaving = s->is_retired = s->is_removed = was_leaving(u, key);
    cw_map_put(&u->by_key, key, index);
    cw_map_put(&u->by_id, s->id_hash, index);
    s->pool = pool_get(u, published->pool);
    s->address = address;
    s->next = s->pool->servers;
    s->pool->servers = s;
    return s;
}

/* The current incarnation of the server. */
static server_t* find_by_id(const upstreams_t* u, const char* id) {
    uint32_t index = cw_map_get(&u->by_id, cw_name_id(id));
    return index == CW_MAP_NONE ? NULL : u->servers[index];
}

/* Whether the list entry describes incarnation s. An entry without a start time matches any. */
static bool is_same_incarnation(const server_t* s, const cw_server_t* published) {
    return !published->started_ms || published->started_ms == s->published.started_ms;
}

/* Whether the entry, listed at revision at, describes a later incarnation than s. The order of the source has priority
   over the server's clock, which may have been set back between two starts. Only if the revisions are equal or unknown
   does the start time decide. */
static bool is_newer_incarnation(const server_t* s, const cw_server_t* published, int64_t at) {
    if (at && s->listed_revision && at != s->listed_revision) {
        return at > s->listed_revision;
    }
    return published->started_ms > s->published.started_ms;
}

void upstreams_reset_revisions(upstreams_t* u) {
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            s->listed_revision = 0;
        }
    }
}

/* Logs that this incarnation has ended. Requests that run there are left to end by themselves. */
static void log_restart(upstreams_t* u, const server_t* s, int64_t started_ms, int64_t at) {
    cw_log(u->desc.log, CW_EVENT_SERVER_RESTARTED, "server=%s pool=%s peer=%s was_ms=%lld started_ms=%lld at=%lld",
           s->published.id, s->pool->name, s->published.address, (long long)s->published.started_ms,
           (long long)started_ms, (long long)at);
}

/* The server of the list entry, created if necessary. NULL: it can't be used. changed: set if it is new or replaces an
   earlier incarnation. */
static server_t* find_or_create(upstreams_t* u, const cw_server_t* published, int64_t at, bool* changed) {
    server_t* current = find_by_id(u, published->id);
    if (!current) {
        *changed = true;
        return server_new(u, published);
    }
    if (is_same_incarnation(current, published) || !is_newer_incarnation(current, published, at)) {
        return current;
    }
    log_restart(u, current, published->started_ms, at);
    *changed = true;
    current->is_retired = current->is_removed = true;
    cw_pool_versions_on_departure(&current->pool->versions, clock_ms(), cw_server_version_id(&current->published));
    server_t* known = upstreams_server(u, cw_server_incarnation_id(published));
    if (!known) {
        return server_new(u, published);
    }
    known->is_retired = known->is_leaving; /* another writer's entry had retired it; the source lists it as alive */
    cw_map_put(&u->by_id, known->id_hash, cw_map_get(&u->by_key, known->key));
    return known;
}

/* Applies the list entry of a server. Returns whether the server is new or its availability changed. */
static bool server_update(upstreams_t* u, const cw_server_t* published, const cw_closed_halls_t* closed, int64_t at) {
    const pool_t* pool = upstreams_pool(u, published->pool);
    if (u->is_configured && (!pool || !pool->is_declared)) {
        return false;
    }
    bool changed = false;
    server_t* s = find_or_create(u, published, at, &changed);
    if (!s || strcmp(s->pool->name, published->pool) != 0) {
        return changed && s; /* an incarnation in another pool must be removed there first */
    }
    s->is_listed = true;
    s->expires_at_ms = 0;
    if (!is_same_incarnation(s, published)) {
        return changed; /* the late entry of an earlier incarnation is ignored */
    }
    bool was_available = !s->is_removed && !s->is_hall_closed;
    int64_t started_ms = s->published.started_ms;
    s->published = *published;
    s->published.started_ms = published->started_ms ? published->started_ms : started_ms;
    s->listed_revision = at > s->listed_revision ? at : s->listed_revision;
    s->is_hall_closed = cw_closed_halls_contains(closed, published->hall);
    s->is_leaving = s->is_leaving || published->leaving;
    s->is_retired = s->is_retired || s->is_leaving;
    s->is_removed = s->is_retired;
    return changed || (!s->is_removed && !s->is_hall_closed) != was_available;
}

/* Before a list is applied: marks all servers as missing from it. */
static void clear_listed(upstreams_t* u) {
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            s->is_listed = false;
        }
    }
}

/* Removes servers that have been missing from the list for too long; returns how many. */
static uint32_t pool_expire(pool_t* pool, int64_t now_ms) {
    uint32_t expired = 0;
    for (server_t* s = pool->servers; s; s = s->next) {
        if (!s->is_removed && !s->is_listed && now_ms >= s->expires_at_ms) {
            s->is_removed = true;
            expired++;
        }
    }
    return expired;
}

uint32_t upstreams_set_servers(upstreams_t* u, int64_t now_ms, const cw_servers_t* list, bool after_outage) {
    uint32_t changes = 0;
    clear_listed(u);
    for (uint32_t i = 0; i < list->count; i++) {
        changes += server_update(u, &list->items[i], &list->closed, list->at);
    }
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            if (!s->is_listed && !s->expires_at_ms) {
                s->expires_at_ms = now_ms + (after_outage ? RETURN_GRACE_MS : 0);
                cw_pool_versions_on_departure(&pool->versions, now_ms, cw_server_version_id(&s->published));
            }
        }
        changes += pool_expire(pool, now_ms);
        pool_update_servers(pool, now_ms);
        for (server_t* s = pool->servers; s;) {
            server_t* next = s->next;
            if (s->is_removed || !s->is_listed) {
                server_watch(s);
            }
            if (s->is_removed) {
                upstream_conn_close_idle(s, now_ms, true);
                server_free_if_unused(pool, s);
            }
            s = next;
        }
    }
    return changes;
}

void upstreams_mark_retired(upstreams_t* u, int64_t now_ms, server_t* s) {
    (void)u;
    s->is_retired = true;
    if (!s->is_removed) {
        s->is_removed = true;
        server_watch(s);
        upstream_conn_close_idle(s, now_ms, true);
        pool_update_servers(s->pool, now_ms);
    }
}

void upstreams_mark_leaving(upstreams_t* u, int64_t now_ms, server_t* s) {
    s->is_leaving = true;
    upstreams_mark_retired(u, now_ms, s);
}

bool upstreams_check_incarnation(upstreams_t* u, int64_t now_ms, server_t* s, int64_t started_ms) {
    if (!started_ms || !s->published.started_ms || started_ms == s->published.started_ms || s->is_removed) {
        return false;
    }
    log_restart(u, s, started_ms, 0);
    upstreams_mark_retired(u, now_ms, s);
    return true;
}

void upstreams_set_catalog(upstreams_t* u, const cw_catalog_t* catalog) {
    u->is_configured = true;
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        pool->is_declared = false;
    }
    for (uint32_t i = 0; i < catalog->pool_count; i++) {
        const cw_catalog_pool_t* declared = &catalog->pools[i];
        pool_t* pool = pool_get(u, declared->name);
        pool->is_declared = true;
        cw_copy(pool->health_path, sizeof(pool->health_path), declared->health ? declared->health : "");
        pool->connections = declared->connections;
        pool->cold_per_s = declared->cold_per_s;
        pool->slots = declared->slots;
        pool->memory_tokens = declared->memory_tokens;
        pool->event_tokens = declared->event_tokens;
        pool->fetch_ms_per_token = u->desc.dialect->fields.fetch_from && declared->link_mbps
                                       ? declared->token_bytes * BITS / (declared->link_mbps * BITS_PER_MS_MBPS)
                                       : 0;
        pool_update_servers(pool, clock_ms());
    }
}

/* Sets by how many daemons limits are divided. A daemon that has just started may know few of those that run. */
static void update_daemons(upstreams_t* u) {
    uint32_t named = u->fleet.count + u->fleet.missing;
    u->daemons = named > u->peak_daemons ? named : u->peak_daemons;
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        pool->retries.daemons = u->daemons;
    }
}

void upstreams_set_peak_daemons(upstreams_t* u, uint32_t daemons) {
    u->peak_daemons = daemons > u->peak_daemons ? daemons : u->peak_daemons;
    update_daemons(u);
}

const cw_fleet_t* upstreams_fleet(const upstreams_t* u) {
    return &u->fleet;
}

void upstreams_set_fleet(upstreams_t* u, const cw_fleet_t* fleet) {
    u->fleet = *fleet;
    update_daemons(u);
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        cw_balance_set_fleet(pool->balance, clock_ms(), fleet);
    }
}

pool_t* upstreams_pool(const upstreams_t* u, const char* name) {
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        if (strcmp(pool->name, name) == 0) {
            return pool;
        }
    }
    return NULL;
}

pool_t* upstreams_pools(const upstreams_t* u) {
    return u->pools;
}

uint32_t upstreams_connections(const upstreams_t* u) {
    return u->conn_total;
}

uint64_t upstreams_servers_rejected(const upstreams_t* u) {
    return u->rejected_total;
}

uint64_t upstreams_tunnels_opened(const upstreams_t* u) {
    return u->tunnels_opened;
}

uint64_t upstreams_connections_opened(const upstreams_t* u) {
    return u->conns_opened;
}

int64_t server_silent_ms(const server_t* server, int64_t now_ms) {
    int64_t since_ms = server->received_ms > server->busy_since_ms ? server->received_ms : server->busy_since_ms;
    return server->busy_conns ? now_ms - since_ms : 0;
}

void server_log_suspicion(const server_t* server, int64_t now_ms, bool was_suspected, uint64_t host) {
    bool is_suspected = cw_balance_is_suspected(server->pool->balance, now_ms, server->key);
    if (is_suspected != was_suspected) {
        cw_log(server->pool->upstreams->desc.log, is_suspected ? CW_EVENT_SERVER_SUSPECTED : CW_EVENT_SERVER_TRUSTED,
               "server=%s pool=%s told_by=%016llx", server->published.id, server->pool->name, (unsigned long long)host);
    }
}

void server_log_unreachable(const server_t* server, int64_t now_ms) {
    const pool_t* pool = server->pool;
    cw_log(pool->upstreams->desc.log, CW_EVENT_SERVER_AWAY,
           "server=%s pool=%s peer=%s pool_opened_ms_ago=%lld pool_received_ms_ago=%lld", server->published.id,
           pool->name, server->published.address, pool->opened_ms ? (long long)(now_ms - pool->opened_ms) : -1LL,
           pool->received_ms ? (long long)(now_ms - pool->received_ms) : -1LL);
}

void server_log_rate_limit(const server_t* server, int64_t now_ms, double previous_per_s, uint64_t host) {
    double per_s = cw_balance_rate_per_s(server->pool->balance, now_ms, server->key);
    if (per_s != previous_per_s) {
        cw_log(server->pool->upstreams->desc.log, CW_EVENT_SERVER_LIMITED,
               "server=%s pool=%s per_s=%.3f was_per_s=%.3f told_by=%016llx", server->published.id, server->pool->name,
               per_s, previous_per_s, (unsigned long long)host);
    }
}

/* -- probes --------------------------------------------------------------- */

/* A health check of an unreachable server. */
typedef struct probe_t {
    server_t* server;
    upstream_conn_t* conn;
    ev_timer timer;
    bool is_healthy;
    size_t body_bytes; /* received so far */
} probe_t;

static void probe_end(probe_t* p, bool is_healthy) {
    server_t* s = p->server;
    upstreams_t* u = s->pool->upstreams;
    ev_timer_stop(u->desc.loop, &p->timer);
    free(p);
    s->is_probing = false;
    if (is_healthy) {
        cw_balance_set_unreachable(s->pool->balance, clock_ms(), s->key, false);
        cw_log(u->desc.log, CW_EVENT_SERVER_BACK, "server=%s pool=%s", s->published.id, s->pool->name);
        u->desc.on_slot_free(u->desc.user_data, s->pool);
    }
}

static void probe_on_open(void* owner) {
    probe_t* p = owner;
    server_t* s = p->server;
    char address[CW_ADDR_TEXT_SIZE];
    cw_addr_format(&s->address, address);
    cw_buffer_t head = {0};
    cw_message_add_text(&head, "GET %s HTTP/1.1\r\n", s->pool->health_path);
    cw_message_add_field(&head, "Host", address);
    cw_message_end_head(&head);
    upstream_conn_send(p->conn, "", false, &head, NULL, 0);
    cw_buffer_free(&head);
}

static void probe_on_head(void* owner, const cw_message_t* response) {
    probe_t* p = owner;
    const char* id = cw_message_field(response, p->server->pool->upstreams->desc.dialect->fields.server_id);
    p->is_healthy = response->status == 200 && (!id || strcmp(id, p->server->published.id) == 0);
}

/* The body is of no interest, but its end is awaited: the response may not be complete. */
static void probe_on_body(void* owner, const char* data, size_t size) {
    probe_t* p = owner;
    (void)data;
    p->body_bytes += size;
    if (p->body_bytes > PROBE_BODY_MAX_BYTES) {
        upstream_conn_close(p->conn);
        probe_end(p, false);
    }
}

static void probe_on_complete(void* owner) {
    probe_t* p = owner;
    upstream_conn_release(p->conn);
    probe_end(p, p->is_healthy);
}

static void probe_on_broken(void* owner, upstream_conn_failure_t failure) {
    (void)failure;
    probe_end(owner, false);
}

static const upstream_conn_handlers_t probe_handlers = {.on_open = probe_on_open,
                                                        .on_head = probe_on_head,
                                                        .on_body = probe_on_body,
                                                        .on_complete = probe_on_complete,
                                                        .on_broken = probe_on_broken};

static void probe_on_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    probe_t* p = w->data;
    upstream_conn_close(p->conn);
    probe_end(p, false);
}

static void probe_start(server_t* s) {
    probe_t* p = calloc(1, sizeof(*p));
    if (!p) {
        abort();
    }
    p->server = s;
    s->is_probing = true;
    ev_timer_init(&p->timer, probe_on_timeout, PROBE_TIMEOUT_MS / MS_PER_S, 0.0);
    p->timer.data = p;
    upstream_conn_close_idle(s, clock_ms(), true);
    p->conn = upstream_conn_acquire(s, &probe_handlers, p, false);
    if (!p->conn) {
        probe_end(p, false);
        return;
    }
    ev_timer_start(s->pool->upstreams->desc.loop, &p->timer);
}

void upstreams_on_resume(upstreams_t* u) {
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        cw_balance_on_resume(pool->balance, clock_ms());
        for (server_t* s = pool->servers; s; s = s->next) {
            upstream_conn_close_idle(s, clock_ms(), true);
        }
    }
}

/* Closes idle connections. True: the server was missing from the list for too long and is removed now. */
static bool server_tick(server_t* s, int64_t now_ms) {
    bool has_expired = !s->is_removed && !s->is_listed && now_ms >= s->expires_at_ms;
    s->is_removed = s->is_removed || has_expired;
    upstream_conn_close_idle(s, now_ms, s->is_removed);
    return has_expired;
}

int64_t upstreams_unread_ms(const upstreams_t* u) {
    return clock_ms() - poll_time_before_ms(&u->poll_time);
}

void upstreams_tick(upstreams_t* u, int64_t now_ms) {
    upstream_conn_free_closed(u);
    upstream_continuity_check_list(u, now_ms);
    for (uint32_t i = u->watched_count; i-- > 0;) {
        server_t* s = u->watched[i];
        pool_t* pool = s->pool;
        pool->has_expired_servers = server_tick(s, now_ms) || pool->has_expired_servers;
        upstream_continuity_tick(s, now_ms);
        if (!s->idle_conns && !s->is_removed && s->is_listed && !s->continuity.is_doubted) {
            s->is_watched = false;
            u->watched[i] = u->watched[--u->watched_count];
        } else {
            server_free_if_unused(pool, s);
        }
    }
    for (pool_t* pool = u->pools; pool; pool = pool->next) {
        if (pool->has_expired_servers) {
            pool_update_servers(pool, now_ms);
            pool->has_expired_servers = false;
        }
        upstream_path_tick(pool, now_ms);
        uint64_t key = pool->health_path[0] ? cw_balance_next_probe(pool->balance, now_ms) : 0;
        server_t* unreachable = upstreams_server(u, key);
        if (unreachable && !unreachable->is_probing && !unreachable->is_removed) {
            probe_start(unreachable);
        }
    }
}

/* -- setup ---------------------------------------------------------------- */

upstreams_t* upstreams_setup(const upstreams_desc_t* desc) {
    upstreams_t* u = calloc(1, sizeof(*u));
    if (!u) {
        abort();
    }
    u->desc = *desc;
    u->daemons = u->peak_daemons = 1;
    u->desc.max_servers = desc->max_servers ? desc->max_servers : SERVERS_MAX_DEFAULT;
    u->by_key = cw_map_setup(1, NULL);
    u->by_id = cw_map_setup(1, NULL);
    poll_time_setup(&u->poll_time, desc->loop);
    return u;
}

void upstreams_shutdown(upstreams_t* u) {
    u->desc.on_reach_changed = NULL; /* servers are freed below, but nobody is left to act on it */
    while (u->pools) {
        pool_t* pool = u->pools;
        u->pools = pool->next;
        while (pool->servers) {
            server_t* s = pool->servers;
            pool->servers = s->next;
            upstream_conn_close_idle(s, 0, true);
            server_free(u, s);
        }
        cw_balance_shutdown(pool->balance);
        free(pool);
    }
    upstream_conn_free_closed(u);
    poll_time_shutdown(&u->poll_time);
    cw_map_shutdown(&u->by_key);
    cw_map_shutdown(&u->by_id);
    if (u->wire) {
        cw_wire_shutdown(u->wire);
    }
    free(u->servers);
    free(u->free_indexes);
    free(u->watched);
    free(u);
}
