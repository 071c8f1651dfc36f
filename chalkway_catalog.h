#ifndef CHALKWAY_CATALOG_H
#define CHALKWAY_CATALOG_H
/*
    chalkway_catalog.h -- routes, pools, workspaces and limits of one revision

    WHAT IT IS
        An immutable table read from one JSON document. A route is found by
        host and longest path prefix, a workspace by one of its keys. A
        document with any error is refused as a whole, so that the previous
        revision stays active. Unknown fields are ignored.

            {"revision": 7,
             "routes": [{"name": "chat", "host": "a.example", "prefix": "/chat/", "kind": "stream",
                         "timeout_ms": 12000, "target_ms": 250, "gap_ms": 150, "tier": 0, "attempts": 2,
                         "open": false, "resume": true, "pools": [{"pool": "llm", "weight": 90}]}],
             "pools": [{"name": "llm", "health": "/health", "connections": 310, "cold_per_s": 7.5,
                        "engine": {"slots": 48, "memory_tokens": 500000, "event_tokens": 6,
                                   "token_bytes": 163840, "link_mbps": 260000}}],
             "limits": {"head_bytes": 16384, "body_bytes": 4194304, "head_ms": 3000, "idle_ms": 15000},
             "workspaces": [{"name": "kiosks", "keys": ["secret"], "tier": 1}]}

    HOW TO USE IT
            cw_catalog_t* c = cw_catalog_parse(text, size, &err);   // NULL: invalid, err says why
            const cw_route_t* route = cw_catalog_find_route(c, host, path, path_size);
            const cw_catalog_workspace_t* workspace = cw_catalog_find_workspace(c, key);
            cw_catalog_release(c);

    WHAT IT DOES NOT DO
        It fetches no documents and holds no servers; see
        chalkway_balance.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_ROUTE_POOLS 8 /* pools of one route */

typedef enum cw_route_kind_t {
    CW_ROUTE_ONCE = 0,   /* may run at most once */
    CW_ROUTE_REPEATABLE, /* may run again after any failure */
    CW_ROUTE_STREAM      /* responds with server-sent events; runs at most once unless it may be resumed */
} cw_route_kind_t;

typedef struct cw_route_pool_t {
    uint32_t pool; /* index in pools */
    uint32_t weight;
} cw_route_pool_t;

typedef struct cw_route_t {
    const char* name;
    const char* host;   /* lower case */
    const char* prefix; /* of the path; begins and ends with a slash */
    cw_route_kind_t kind;
    bool is_resumable;   /* a broken stream may be resumed at another server */
    bool is_public;      /* requests need no key */
    uint32_t timeout_ms; /* deadline of a request */
    uint32_t target_ms;  /* target latency of the response, or of the first event of a stream */
    uint32_t gap_ms;     /* target for the time between two events of a stream, 0: none */
    uint32_t tier;       /* priority, 0 is served first */
    uint32_t attempts;   /* maximum number of servers that one request is sent to */
    uint32_t pool_count;
    cw_route_pool_t pools[CW_ROUTE_POOLS];
} cw_route_t;

typedef struct cw_catalog_pool_t {
    const char* name;
    const char* health;     /* path of the health check, NULL: none */
    uint32_t connections;   /* connections to one server from all daemons together, 0: no limit */
    double cold_per_s;      /* requests per second that a cold server accepts from all daemons together, 0: no limit */
    uint32_t slots;         /* engine: concurrent requests, 0: the pool has no engines */
    uint32_t memory_tokens; /* engine: capacity of its KV cache, in tokens */
    uint32_t event_tokens;  /* engine: tokens in one event of a stream */
    uint32_t token_bytes;   /* engine: bytes of KV cache per token, 0: unknown */
    uint32_t link_mbps;     /* engine: bandwidth between two engines, 0: they do not transfer KV cache */
} cw_catalog_pool_t;

typedef struct cw_catalog_workspace_t {
    const char* name;
    bool has_tier; /* its tier overrides the tier of the route */
    uint32_t tier;
    uint32_t key_count;
    const char** keys;
} cw_catalog_workspace_t;

typedef struct cw_catalog_limits_t {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_ms; /* timeout for receiving a request head */
    uint32_t idle_ms; /* timeout of an idle connection */
} cw_catalog_limits_t;

typedef struct cw_catalog_t {
    int64_t revision;
    uint32_t route_count, pool_count, workspace_count;
    cw_route_t* routes;
    cw_catalog_pool_t* pools;
    cw_catalog_workspace_t* workspaces;
    bool requires_keys; /* the document declares workspaces, so requests need one of their keys */
    cw_catalog_limits_t limits;
    struct _cw_catalog_index_t* index; /* private */
} cw_catalog_t;

/* Reads a document and returns it with one reference; returns NULL and sets err when it is invalid. */
cw_catalog_t* cw_catalog_parse(const char* text, size_t size, cw_error_t* err);
/* Adds a reference. */
cw_catalog_t* cw_catalog_retain(cw_catalog_t* catalog);
/* Longest timeout of a route whose streams can be resumed; 0: there is none. */
uint32_t cw_catalog_longest_stream_ms(const cw_catalog_t* catalog);
void cw_catalog_release(cw_catalog_t* catalog);
/* Finds the route with the longest prefix of the path; NULL: none. host has no port and may have any case. */
const cw_route_t* cw_catalog_find_route(const cw_catalog_t* catalog, const char* host, const char* path,
                                        size_t path_size);
/* Finds the workspace that has the key; NULL: none. */
const cw_catalog_workspace_t* cw_catalog_find_workspace(const cw_catalog_t* catalog, const char* key);
/* Chooses a pool of the route by weight; draw is a random number of any size. */
const cw_catalog_pool_t* cw_catalog_choose_pool(const cw_catalog_t* catalog, const cw_route_t* route, uint64_t draw);

#endif /* CHALKWAY_CATALOG_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_CATALOG_IMPL_INCLUDED
#define CHALKWAY_CATALOG_IMPL_INCLUDED

#include <ctype.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "chalkway_map.h"

#define _CW_CATALOG_ERROR_STEP "catalog"
#define _CW_CATALOG_HOST_MAX 256

/* The JSON document, into whose texts the tables point, and the indexes of the tables. */
struct _cw_catalog_index_t {
    uint32_t references;
    json_t* document;
    char* hosts; /* lower-case copies of the routes' hosts, concatenated */
    cw_map_t routes;
    cw_map_t keys;
};

static uint64_t _cw_catalog_route_id(const char* host, const char* path, size_t size) {
    uint64_t seed = XXH64(host, strlen(host), 0);
    uint64_t id = XXH64(path, size, seed);
    return id ? id : 1;
}

static uint64_t _cw_catalog_key_id(const char* key) {
    uint64_t id = XXH64(key, strlen(key), 0);
    return id ? id : 1;
}

/* State of the reading functions; only the first error is reported. */
typedef struct _cw_catalog_reader_t {
    cw_error_t* err;
    bool has_failed;
} _cw_catalog_reader_t;

static void _cw_catalog_fail(_cw_catalog_reader_t* r, const char* where, const char* key, const char* why) {
    if (!r->has_failed) {
        cw_fail(r->err, CW_ERR_INVALID, _CW_CATALOG_ERROR_STEP, NULL, "%s: \"%s\" %s", where, key, why);
    }
    r->has_failed = true;
}

static const char* _cw_catalog_string(_cw_catalog_reader_t* r, const json_t* o, const char* where, const char* key) {
    const json_t* value = json_object_get(o, key);
    if (!json_is_string(value) || json_string_length(value) == 0) {
        _cw_catalog_fail(r, where, key, "must be a non-empty string");
        return "";
    }
    return json_string_value(value);
}

/* Reads a number from 0 to UINT32_MAX; default_value when the field is absent or null. */
static double _cw_catalog_double(_cw_catalog_reader_t* r, const json_t* o, const char* where, const char* key,
                                 double default_value) {
    const json_t* value = json_object_get(o, key);
    if (!value || json_is_null(value)) {
        return default_value;
    }
    double number = json_number_value(value);
    if (!json_is_number(value) || number < 0 || number > UINT32_MAX) {
        _cw_catalog_fail(r, where, key, "must be a number from 0 to 4294967295");
        return default_value;
    }
    return number;
}

/* Like _cw_catalog_double; fractions are truncated. */
static uint32_t _cw_catalog_uint32(_cw_catalog_reader_t* r, const json_t* o, const char* where, const char* key,
                                   uint32_t default_value) {
    return (uint32_t)_cw_catalog_double(r, o, where, key, default_value);
}

static bool _cw_catalog_bool(const json_t* o, const char* key) {
    return json_is_true(json_object_get(o, key));
}

/* The name of a pool. One that is too long is replaced in the document by its shortened form. */
static const char* _cw_catalog_pool_name(_cw_catalog_reader_t* r, json_t* o, const char* where, const char* key) {
    char shortened[CW_NAME_MAX];
    const char* name = _cw_catalog_string(r, o, where, key);
    if (strlen(name) < CW_NAME_MAX) {
        return name;
    }
    cw_name_shorten(name, shortened);
    json_object_set_new(o, key, json_string(shortened));
    return _cw_catalog_string(r, o, where, key);
}

static void _cw_catalog_read_pool(_cw_catalog_reader_t* r, json_t* o, cw_catalog_pool_t* pool) {
    pool->name = _cw_catalog_pool_name(r, o, "pool", "name");
    pool->health = json_string_value(json_object_get(o, "health"));
    pool->connections = _cw_catalog_uint32(r, o, pool->name, "connections", 0);
    pool->cold_per_s = _cw_catalog_double(r, o, pool->name, "cold_per_s", 0);
    const json_t* engine = json_object_get(o, "engine");
    if (json_is_object(engine)) {
        pool->slots = _cw_catalog_uint32(r, engine, pool->name, "slots", 1);
        pool->memory_tokens = _cw_catalog_uint32(r, engine, pool->name, "memory_tokens", 0);
        pool->event_tokens = _cw_catalog_uint32(r, engine, pool->name, "event_tokens", 1);
        pool->token_bytes = _cw_catalog_uint32(r, engine, pool->name, "token_bytes", 0);
        pool->link_mbps = _cw_catalog_uint32(r, engine, pool->name, "link_mbps", 0);
    }
}

static uint32_t _cw_catalog_pool_index(const cw_catalog_t* c, const char* name) {
    for (uint32_t i = 0; i < c->pool_count; i++) {
        if (strcmp(c->pools[i].name, name) == 0) {
            return i;
        }
    }
    return UINT32_MAX;
}

static void _cw_catalog_read_route_pools(_cw_catalog_reader_t* r, const cw_catalog_t* c, const json_t* o,
                                         cw_route_t* route) {
    const json_t* pools = json_object_get(o, "pools");
    size_t count = json_array_size(pools);
    if (count == 0 || count > CW_ROUTE_POOLS) {
        _cw_catalog_fail(r, route->name, "pools", "must name 1 to 8 pools");
        return;
    }
    for (size_t i = 0; i < count; i++) {
        json_t* entry = json_array_get(pools, i);
        const char* name = _cw_catalog_pool_name(r, entry, route->name, "pool");
        cw_route_pool_t* pool = &route->pools[i];
        pool->pool = _cw_catalog_pool_index(c, name);
        pool->weight = _cw_catalog_uint32(r, entry, route->name, "weight", 1);
        if (pool->pool == UINT32_MAX) {
            _cw_catalog_fail(r, route->name, name, "is no pool of the document");
        }
    }
    route->pool_count = (uint32_t)count;
}

static cw_route_kind_t _cw_catalog_route_kind(_cw_catalog_reader_t* r, const char* where, const char* kind) {
    if (strcmp(kind, "once") == 0) {
        return CW_ROUTE_ONCE;
    }
    if (strcmp(kind, "repeatable") == 0) {
        return CW_ROUTE_REPEATABLE;
    }
    if (strcmp(kind, "stream") != 0) {
        _cw_catalog_fail(r, where, "kind", "must be once, repeatable or stream");
    }
    return CW_ROUTE_STREAM;
}

static void _cw_catalog_read_route(_cw_catalog_reader_t* r, const cw_catalog_t* c, const json_t* o, cw_route_t* route) {
    route->name = _cw_catalog_string(r, o, "route", "name");
    route->host = _cw_catalog_string(r, o, route->name, "host");
    route->prefix = _cw_catalog_string(r, o, route->name, "prefix");
    size_t size = strlen(route->prefix);
    if (size && (route->prefix[0] != '/' || route->prefix[size - 1] != '/')) {
        _cw_catalog_fail(r, route->name, "prefix", "must begin and end with a slash");
    }
    route->kind = _cw_catalog_route_kind(r, route->name, _cw_catalog_string(r, o, route->name, "kind"));
    route->timeout_ms = _cw_catalog_uint32(r, o, route->name, "timeout_ms", 60000);
    route->target_ms = _cw_catalog_uint32(r, o, route->name, "target_ms", 1000);
    route->gap_ms = _cw_catalog_uint32(r, o, route->name, "gap_ms", 0);
    route->tier = _cw_catalog_uint32(r, o, route->name, "tier", 0);
    route->attempts = _cw_catalog_uint32(r, o, route->name, "attempts", 1);
    route->attempts = route->attempts ? route->attempts : 1;
    route->is_public = _cw_catalog_bool(o, "open");
    route->is_resumable = _cw_catalog_bool(o, "resume");
    _cw_catalog_read_route_pools(r, c, o, route);
}

static void _cw_catalog_read_workspace(_cw_catalog_reader_t* r, const json_t* o, cw_catalog_workspace_t* workspace) {
    workspace->name = _cw_catalog_string(r, o, "workspace", "name");
    workspace->has_tier = json_is_number(json_object_get(o, "tier"));
    workspace->tier = _cw_catalog_uint32(r, o, workspace->name, "tier", 0);
    const json_t* keys = json_object_get(o, "keys");
    workspace->key_count = (uint32_t)json_array_size(keys);
    workspace->keys = cw_alloc(NULL, workspace->key_count + 1, sizeof(char*));
    for (uint32_t i = 0; i < workspace->key_count; i++) {
        const char* key = json_string_value(json_array_get(keys, i));
        if (!key || !key[0]) {
            _cw_catalog_fail(r, workspace->name, "keys", "must be a list of strings that are not empty");
            key = "";
        }
        workspace->keys[i] = key;
    }
}

static void _cw_catalog_read_limits(_cw_catalog_reader_t* r, const json_t* o, cw_catalog_limits_t* limits) {
    limits->head_bytes = _cw_catalog_uint32(r, o, "limits", "head_bytes", 16384);
    limits->body_bytes = _cw_catalog_uint32(r, o, "limits", "body_bytes", 1 << 20);
    limits->head_ms = _cw_catalog_uint32(r, o, "limits", "head_ms", 10000);
    limits->idle_ms = _cw_catalog_uint32(r, o, "limits", "idle_ms", 60000);
}

static void _cw_catalog_lowercase_hosts(cw_catalog_t* c) {
    size_t bytes = 1;
    for (uint32_t i = 0; i < c->route_count; i++) {
        bytes += strlen(c->routes[i].host) + 1;
    }
    char* at = cw_alloc(NULL, bytes, 1);
    c->index->hosts = at;
    for (uint32_t i = 0; i < c->route_count; i++) {
        const char* host = c->routes[i].host;
        c->routes[i].host = at;
        while (*host) {
            *at++ = (char)tolower((unsigned char)*host++);
        }
        at++;
    }
}

static void _cw_catalog_build_index(cw_catalog_t* c) {
    _cw_catalog_lowercase_hosts(c);
    c->index->routes = cw_map_setup(c->route_count + 1, NULL);
    for (uint32_t i = 0; i < c->route_count; i++) {
        const cw_route_t* route = &c->routes[i];
        cw_map_put(&c->index->routes, _cw_catalog_route_id(route->host, route->prefix, strlen(route->prefix)), i);
    }
    uint32_t keys = 0;
    for (uint32_t i = 0; i < c->workspace_count; i++) {
        keys += c->workspaces[i].key_count;
    }
    c->index->keys = cw_map_setup(keys + 1, NULL);
    for (uint32_t i = 0; i < c->workspace_count; i++) {
        for (uint32_t k = 0; k < c->workspaces[i].key_count; k++) {
            cw_map_put(&c->index->keys, _cw_catalog_key_id(c->workspaces[i].keys[k]), i);
        }
    }
}

static void _cw_catalog_read_tables(_cw_catalog_reader_t* r, cw_catalog_t* c, const json_t* document) {
    const json_t* routes = json_object_get(document, "routes");
    const json_t* pools = json_object_get(document, "pools");
    const json_t* workspaces = json_object_get(document, "workspaces");
    if (!json_is_array(routes) || !json_is_array(pools)) {
        _cw_catalog_fail(r, "document", "routes, pools", "must be lists");
        return;
    }
    c->pools = cw_alloc(NULL, json_array_size(pools) + 1, sizeof(*c->pools));
    c->routes = cw_alloc(NULL, json_array_size(routes) + 1, sizeof(*c->routes));
    c->workspaces = cw_alloc(NULL, json_array_size(workspaces) + 1, sizeof(*c->workspaces));
    c->requires_keys = json_is_array(workspaces);
    for (size_t i = 0; i < json_array_size(pools); i++) {
        _cw_catalog_read_pool(r, json_array_get(pools, i), &c->pools[c->pool_count++]);
    }
    for (size_t i = 0; i < json_array_size(routes); i++) {
        _cw_catalog_read_route(r, c, json_array_get(routes, i), &c->routes[c->route_count++]);
    }
    for (size_t i = 0; i < json_array_size(workspaces); i++) {
        _cw_catalog_read_workspace(r, json_array_get(workspaces, i), &c->workspaces[c->workspace_count++]);
    }
    _cw_catalog_read_limits(r, json_object_get(document, "limits"), &c->limits);
}

cw_catalog_t* cw_catalog_parse(const char* text, size_t size, cw_error_t* err) {
    json_error_t parse_error;
    json_t* document = json_loadb(text, size, 0, &parse_error);
    if (!json_is_object(document)) {
        cw_fail(err, CW_ERR_INVALID, _CW_CATALOG_ERROR_STEP, NULL, "no JSON object: %s",
                document ? "other" : parse_error.text);
        json_decref(document);
        return NULL;
    }
    cw_catalog_t* c = cw_alloc(NULL, 1, sizeof(*c));
    c->index = cw_alloc(NULL, 1, sizeof(*c->index));
    c->index->references = 1;
    c->index->document = document;
    _cw_catalog_reader_t reader = {.err = err};
    const json_t* revision = json_object_get(document, "revision");
    c->revision = json_integer_value(revision);
    if (c->revision <= 0) {
        _cw_catalog_fail(&reader, "document", "revision", "must be an integer above 0");
    }
    _cw_catalog_read_tables(&reader, c, document);
    if (reader.has_failed) {
        cw_catalog_release(c);
        return NULL;
    }
    _cw_catalog_build_index(c);
    return c;
}

uint32_t cw_catalog_longest_stream_ms(const cw_catalog_t* c) {
    uint32_t longest_ms = 0;
    for (uint32_t i = 0; i < c->route_count; i++) {
        const cw_route_t* route = &c->routes[i];
        bool is_longer = route->kind == CW_ROUTE_STREAM && route->is_resumable && route->timeout_ms > longest_ms;
        longest_ms = is_longer ? route->timeout_ms : longest_ms;
    }
    return longest_ms;
}

cw_catalog_t* cw_catalog_retain(cw_catalog_t* c) {
    if (c) {
        c->index->references++;
    }
    return c;
}

void cw_catalog_release(cw_catalog_t* c) {
    if (!c || --c->index->references) {
        return;
    }
    for (uint32_t i = 0; i < c->workspace_count; i++) {
        cw_free(NULL, (void*)c->workspaces[i].keys);
    }
    if (c->index->hosts) {
        cw_map_shutdown(&c->index->routes);
        cw_map_shutdown(&c->index->keys);
    }
    json_decref(c->index->document);
    cw_free(NULL, c->index->hosts);
    cw_free(NULL, c->index);
    cw_free(NULL, c->routes);
    cw_free(NULL, c->pools);
    cw_free(NULL, c->workspaces);
    cw_free(NULL, c);
}

const cw_route_t* cw_catalog_find_route(const cw_catalog_t* c, const char* host, const char* path, size_t path_size) {
    char lower[_CW_CATALOG_HOST_MAX];
    size_t n = 0;
    for (; host[n] && n < sizeof(lower) - 1; n++) {
        lower[n] = (char)tolower((unsigned char)host[n]);
    }
    lower[n] = 0;
    for (size_t size = path_size; size > 0; size--) {
        if (path[size - 1] != '/') {
            continue;
        }
        uint32_t at = cw_map_get(&c->index->routes, _cw_catalog_route_id(lower, path, size));
        if (at == CW_MAP_NONE) {
            continue;
        }
        const cw_route_t* route = &c->routes[at];
        if (strcmp(route->host, lower) == 0 && strlen(route->prefix) == size &&
            memcmp(route->prefix, path, size) == 0) {
            return route;
        }
    }
    return NULL;
}

const cw_catalog_workspace_t* cw_catalog_find_workspace(const cw_catalog_t* c, const char* key) {
    uint32_t at = cw_map_get(&c->index->keys, _cw_catalog_key_id(key));
    if (at == CW_MAP_NONE) {
        return NULL;
    }
    const cw_catalog_workspace_t* workspace = &c->workspaces[at];
    for (uint32_t i = 0; i < workspace->key_count; i++) {
        if (strcmp(workspace->keys[i], key) == 0) {
            return workspace;
        }
    }
    return NULL;
}

const cw_catalog_pool_t* cw_catalog_choose_pool(const cw_catalog_t* c, const cw_route_t* route, uint64_t draw) {
    uint64_t sum = 0;
    for (uint32_t i = 0; i < route->pool_count; i++) {
        sum += route->pools[i].weight;
    }
    uint64_t remaining = sum ? draw % sum : 0;
    for (uint32_t i = 0; i < route->pool_count; i++) {
        if (remaining < route->pools[i].weight) {
            return &c->pools[route->pools[i].pool];
        }
        remaining -= route->pools[i].weight;
    }
    return &c->pools[route->pools[0].pool];
}

#endif /* CHALKWAY_CATALOG_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
