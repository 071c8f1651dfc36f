#ifndef CHALKWAY_STORE_H
#define CHALKWAY_STORE_H
/*
    chalkway_store.h -- published resources, by revision

    WHAT IT IS
        Holds the resources that operators publish: Workspace, RequestClass,
        Pool and Upstream, each a JSON document under a key, with the
        revision that the platform gave it. Each document is validated by the
        schema of its kind. If it is invalid, its last valid version stays
        active, and its status gives the reason. Revisions of a key never
        decrease: a document with a lower revision than the highest one
        seen is dropped, and a deletion stays as a tombstone. All active
        documents form one immutable snapshot; a request uses the same
        snapshot from its start to its end.

    HOW TO USE IT
            cw_store_t* store = cw_store_setup(&(cw_store_desc_t){0});
            cw_store_put(store, "pools/chat", 12, "{\"kind\":\"engine\"}");
            cw_store_put(store, "pools/old", 13, NULL);            // deletes it
            cw_store_commit(store, 13);                            // all changes up to revision 13 were put
            cw_snapshot_t* snapshot = cw_store_snapshot(store);            // takes a reference
            const cw_class_t* c = cw_snapshot_class(snapshot, id);
            cw_snapshot_release(snapshot);

    WHAT IT DOES NOT DO
        No input or output. Memory is allocated for each new key, for each
        version of a document and for each new snapshot.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"
#include "chalkway_shard.h"

#define CW_CLASS_POOLS 8       /* pools of one class */
#define CW_WORKSPACE_DIGESTS 2 /* token digests of one workspace */
#define CW_DIGEST_BYTES 32
#define CW_KEY_MAX 96     /* bytes of a key, with its terminating zero */
#define CW_ADDRESS_MAX 48 /* bytes of an address, with its terminating zero */
#define CW_REASON_MAX CW_MESSAGE_MAX

typedef enum cw_resource_kind_t {
    CW_RESOURCE_WORKSPACE = 0,
    CW_RESOURCE_CLASS,
    CW_RESOURCE_POOL,
    CW_RESOURCE_UPSTREAM,
    CW_RESOURCE_KIND_COUNT
} cw_resource_kind_t;

/* A customer. Its limits apply to all entry daemons together. */
typedef struct cw_workspace_t {
    char name[CW_NAME_MAX];
    uint64_t id;
    uint32_t weight;                                        /* fair share within a tier, default 1 */
    double rate;                                            /* requests per second, 0: no limit */
    uint32_t concurrency;                                   /* concurrent requests, 0: no limit */
    uint8_t digests[CW_WORKSPACE_DIGESTS][CW_DIGEST_BYTES]; /* BLAKE2b-256 of its bearer tokens */
    uint32_t digest_count;
} cw_workspace_t;

/* A class of requests, with its service level. */
typedef struct cw_class_t {
    char name[CW_NAME_MAX];
    uint64_t id;
    uint8_t tier;         /* 0..3, 0 is served first */
    bool is_protected;    /* never shed or preempted for a lower tier */
    bool repeatable;      /* may run more than once */
    bool preemptible;     /* a running request may be cancelled in favour of a protected class */
    uint32_t deadline_ms; /* time limit for the complete response */
    uint32_t queue_ms;    /* longest wait for a slot */
    uint32_t cost;        /* initial estimate, in tokens */
    uint32_t est_ms;      /* initial estimate of the run time */
    double weight;        /* weight of the class's requests in the goodput */
    char pools[CW_CLASS_POOLS][CW_NAME_MAX];
    uint32_t pool_count;
} cw_class_t;

/* A group of interchangeable upstreams. */
typedef struct cw_pool_t {
    char name[CW_NAME_MAX];
    uint64_t id;
    bool is_engine; /* its upstreams are model engines, otherwise plain services */
    char model[CW_NAME_MAX];
    uint32_t shard_size;    /* upstreams in one shard, default 24 */
    uint32_t reserve;       /* slots of a shard reserved for protected classes */
    bool can_resume;        /* its engines can resume a stream at a token (header Chalkway-Resume-From) */
    double floor[CW_TIERS]; /* minimum share of the served cost for each tier that has waiting requests */
} cw_pool_t;

/* A back end that runs requests. */
typedef struct cw_upstream_t {
    char name[CW_NAME_MAX];
    uint64_t id;
    char pool[CW_NAME_MAX];
    uint64_t pool_id;
    char address[CW_ADDRESS_MAX]; /* IP:PORT */
    char hall[CW_NAME_MAX];
    char version[CW_NAME_MAX]; /* of its software, "": unknown */
    uint64_t version_id;       /* of version, never 0 */
    uint32_t slots;            /* concurrent requests */
    bool leaving;              /* gets no new requests */
    bool deduplicates_calls;   /* deduplicates calls by their idempotency key (header Idempotency-Key) */
} cw_upstream_t;

/* An immutable, reference-counted set of all active resources. */
typedef struct cw_snapshot_t {
    uint32_t refs;
    int64_t revision;
    cw_workspace_t* workspaces;
    cw_class_t* classes;
    cw_pool_t* pools;
    cw_upstream_t* upstreams; /* upstreams whose pool is published, sorted by name */
    uint32_t workspace_count, class_count, pool_count, upstream_count;
    cw_map_t by_id;     /* cw_mix(kind + 1, id) -> index in the array of its kind */
    cw_map_t by_digest; /* first 8 bytes of a token digest -> workspace index */
} cw_snapshot_t;

/* The newest and the active version of one document. */
typedef struct cw_store_item_t {
    char key[CW_KEY_MAX];
    int64_t revision;           /* of the newest version */
    int64_t active_revision;    /* of the active version, 0: none */
    char* value;                /* text of the newest version, NULL: deleted */
    char* active_value;         /* text of the active version, NULL: none */
    char reason[CW_REASON_MAX]; /* why the newest version is not active, "" when it is */
    cw_resource_kind_t kind;
} cw_store_item_t;

typedef struct cw_store_desc_t {
    uint32_t max_items; /* default 16384 */
    cw_allocator_t allocator;
} cw_store_desc_t;

typedef struct cw_store_t cw_store_t;

cw_store_t* cw_store_setup(const cw_store_desc_t* desc);
void cw_store_shutdown(cw_store_t* store);
/* Stores one version of a document; value NULL deletes it. Returns CW_ERR_STALE when the store has a higher revision of
   the key, CW_ERR_INVALID when the document is invalid (it is recorded with the reason) or the key names no kind, and
   CW_ERR_FULL when there is no room for another key. */
cw_status_t cw_store_put(cw_store_t* store, const char* key, int64_t revision, const char* value);
/* Declares that all changes up to revision were put, unless it is lower than the current one, and builds a new snapshot
   if a document changed. */
void cw_store_commit(cw_store_t* store, int64_t revision);
/* Revision up to which the store holds all changes; 0 before the first commit. */
int64_t cw_store_revision(const cw_store_t* store);
/* Returns the current snapshot, never NULL, with a reference that the caller releases. */
cw_snapshot_t* cw_store_snapshot(cw_store_t* store);
void cw_snapshot_release(cw_snapshot_t* snapshot);
/* Adds a reference to the snapshot. */
cw_snapshot_t* cw_snapshot_retain(cw_snapshot_t* snapshot);
uint32_t cw_store_count(const cw_store_t* store);
const cw_store_item_t* cw_store_at(const cw_store_t* store, uint32_t index);
const cw_store_item_t* cw_store_find(const cw_store_t* store, const char* key);
/* Validates a document without storing it; err says why it is invalid. */
cw_status_t cw_store_validate(const char* key, const char* value, cw_error_t* err);

const cw_workspace_t* cw_snapshot_workspace(const cw_snapshot_t* snapshot, uint64_t id);
const cw_class_t* cw_snapshot_class(const cw_snapshot_t* snapshot, uint64_t id);
const cw_pool_t* cw_snapshot_pool(const cw_snapshot_t* snapshot, uint64_t id);
const cw_upstream_t* cw_snapshot_upstream(const cw_snapshot_t* snapshot, uint64_t id);
/* Returns the workspace of a bearer token's digest, compared in constant time; NULL when there is none. */
const cw_workspace_t* cw_snapshot_authenticate(const cw_snapshot_t* snapshot, const uint8_t digest[CW_DIGEST_BYTES]);
/* Part of a key before the slash: "workspaces", "classes", "pools" or "upstreams". */
const char* cw_resource_kind_name(cw_resource_kind_t kind);

#endif /* CHALKWAY_STORE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STORE_IMPL_INCLUDED
#define CHALKWAY_STORE_IMPL_INCLUDED

#include <arpa/inet.h>
#include <assert.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct cw_store_t {
    cw_store_desc_t desc;
    cw_store_item_t** items;
    uint32_t count;
    cw_map_t by_key;
    int64_t revision;
    bool is_dirty;
    cw_snapshot_t* snapshot;
};

const char* cw_resource_kind_name(cw_resource_kind_t kind) {
    static const char* const names[CW_RESOURCE_KIND_COUNT] = {"workspaces", "classes", "pools", "upstreams"};
    return ((unsigned)kind < CW_RESOURCE_KIND_COUNT) ? names[kind] : "?";
}

/* -- validation of documents ---------------------------------------------- */

/* Reads the fields of one JSON object and records the first error. */
typedef struct _cw_doc_t {
    json_t* root;
    cw_error_t* err;
    cw_status_t status;
    uint32_t known_fields; /* number of the object's fields that its schema defines */
} _cw_doc_t;

static void _cw_doc_fail(_cw_doc_t* doc, const char* field, const char* what) {
    if (doc->status == CW_OK) {
        doc->status = cw_fail(doc->err, CW_ERR_INVALID, "validate", NULL, "field \"%s\": %s", field, what);
    }
}

static json_t* _cw_doc_field(_cw_doc_t* doc, const char* field) {
    json_t* value = json_object_get(doc->root, field);
    doc->known_fields += value ? 1 : 0;
    return value;
}

static double _cw_doc_number(_cw_doc_t* doc, const char* field, double default_value, double min, double max) {
    json_t* value = _cw_doc_field(doc, field);
    if (!value) {
        return default_value;
    }
    double number = json_number_value(value);
    if (!json_is_number(value) || number < min || number > max) {
        char what[64];
        snprintf(what, sizeof(what), "must be a number from %g to %g", min, max);
        _cw_doc_fail(doc, field, what);
        return default_value;
    }
    return number;
}

static uint32_t _cw_doc_integer(_cw_doc_t* doc, const char* field, uint32_t default_value, uint32_t min, uint32_t max) {
    json_t* value = json_object_get(doc->root, field);
    if (value && !json_is_integer(value)) {
        _cw_doc_fail(doc, field, "must be a whole number");
    }
    return (uint32_t)_cw_doc_number(doc, field, default_value, min, max);
}

static bool _cw_doc_bool(_cw_doc_t* doc, const char* field, bool default_value) {
    json_t* value = _cw_doc_field(doc, field);
    if (value && !json_is_boolean(value)) {
        _cw_doc_fail(doc, field, "must be true or false");
    }
    return value ? json_is_true(value) : default_value;
}

static void _cw_doc_string(_cw_doc_t* doc, const char* field, char* out, size_t size, bool is_required) {
    json_t* value = _cw_doc_field(doc, field);
    out[0] = 0;
    if (!value) {
        if (is_required) {
            _cw_doc_fail(doc, field, "is missing");
        }
        return;
    }
    const char* text = json_string_value(value);
    if (!text || !text[0] || strlen(text) >= size) {
        _cw_doc_fail(doc, field, "must be a string, neither empty nor too long");
        return;
    }
    cw_copy(out, size, text);
}

static _cw_doc_t _cw_doc_open(const char* text, cw_error_t* err) {
    _cw_doc_t doc = {.err = err};
    json_error_t why;
    doc.root = json_loads(text, JSON_REJECT_DUPLICATES, &why);
    if (!doc.root) {
        doc.status = cw_fail(err, CW_ERR_INVALID, "parse", NULL, "line %d: %s", why.line, why.text);
    } else if (!json_is_object(doc.root)) {
        doc.status = cw_fail(err, CW_ERR_INVALID, "parse", NULL, "must be a JSON object");
    }
    return doc;
}

static cw_status_t _cw_doc_close(_cw_doc_t* doc) {
    if (doc->status == CW_OK && json_object_size(doc->root) != doc->known_fields) {
        doc->status = cw_fail(doc->err, CW_ERR_INVALID, "validate", NULL, "has a field that its kind does not know");
    }
    json_decref(doc->root);
    return doc->status;
}

static void _cw_doc_digests(_cw_doc_t* doc, cw_workspace_t* out) {
    json_t* list = _cw_doc_field(doc, "token_digests");
    if (!json_is_array(list) || json_array_size(list) == 0 || json_array_size(list) > CW_WORKSPACE_DIGESTS) {
        _cw_doc_fail(doc, "token_digests", "must be a list of one or two digests");
        return;
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char* hex = json_string_value(json_array_get(list, i));
        size_t len = 0;
        if (!hex || sodium_hex2bin(out->digests[i], CW_DIGEST_BYTES, hex, strlen(hex), NULL, &len, NULL) != 0 ||
            len != CW_DIGEST_BYTES || strlen(hex) != (size_t)2 * CW_DIGEST_BYTES) {
            _cw_doc_fail(doc, "token_digests", "each must be 64 hexadecimal digits");
            return;
        }
        out->digest_count++;
    }
}

static void _cw_parse_workspace(_cw_doc_t* doc, cw_workspace_t* out) {
    out->weight = _cw_doc_integer(doc, "weight", 1, 1, 1000);
    out->rate = _cw_doc_number(doc, "rate", 0, 0, 1e6);
    out->concurrency = _cw_doc_integer(doc, "concurrency", 0, 0, 1000000);
    _cw_doc_digests(doc, out);
}

static void _cw_doc_pools(_cw_doc_t* doc, cw_class_t* out) {
    json_t* list = _cw_doc_field(doc, "pools");
    if (!json_is_array(list) || json_array_size(list) == 0 || json_array_size(list) > CW_CLASS_POOLS) {
        _cw_doc_fail(doc, "pools", "must be a list of one to eight pool names");
        return;
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        const char* name = json_string_value(json_array_get(list, i));
        if (!name || !name[0] || strlen(name) >= CW_NAME_MAX) {
            _cw_doc_fail(doc, "pools", "each must be the name of a pool");
            return;
        }
        cw_copy(out->pools[out->pool_count++], CW_NAME_MAX, name);
    }
}

static void _cw_parse_class(_cw_doc_t* doc, cw_class_t* out) {
    out->tier = (uint8_t)_cw_doc_integer(doc, "tier", 1, 0, CW_TIERS - 1);
    out->is_protected = _cw_doc_bool(doc, "protected", false);
    out->repeatable = _cw_doc_bool(doc, "repeatable", true);
    out->preemptible = _cw_doc_bool(doc, "preemptible", false);
    out->deadline_ms = _cw_doc_integer(doc, "deadline_ms", 30000, 10, 3600000);
    out->queue_ms = _cw_doc_integer(doc, "queue_ms", out->deadline_ms / 2, 1, 3600000);
    out->cost = _cw_doc_integer(doc, "cost", 100, 1, 10000000);
    out->est_ms = _cw_doc_integer(doc, "estimate_ms", 50, 1, 3600000);
    out->weight = _cw_doc_number(doc, "weight", 1, 0, 1e6);
    _cw_doc_pools(doc, out);
    if (out->is_protected && out->preemptible) {
        _cw_doc_fail(doc, "preemptible", "a protected class cannot be preemptible");
    }
    if (!out->repeatable && out->preemptible) {
        _cw_doc_fail(doc, "preemptible", "a class that is not repeatable cannot be preemptible");
    }
}

static void _cw_doc_floors(_cw_doc_t* doc, cw_pool_t* out) {
    static const double default_value[CW_TIERS] = {0.0, 0.10, 0.05, 0.02};
    memcpy(out->floor, default_value, sizeof(default_value));
    json_t* list = _cw_doc_field(doc, "floors");
    if (!list) {
        return;
    }
    double sum = 0;
    for (size_t t = 0; t < CW_TIERS; t++) {
        out->floor[t] = json_number_value(json_array_get(list, t));
        sum += out->floor[t];
        if (out->floor[t] < 0) {
            sum = 2;
        }
    }
    if (json_array_size(list) != CW_TIERS || sum > 0.9) {
        _cw_doc_fail(doc, "floors", "must be four shares, none below 0, together at most 0.9");
    }
}

static void _cw_parse_pool(_cw_doc_t* doc, cw_pool_t* out) {
    char kind[CW_NAME_MAX];
    _cw_doc_string(doc, "kind", kind, sizeof(kind), true);
    out->is_engine = strcmp(kind, "engine") == 0;
    if (kind[0] && !out->is_engine && strcmp(kind, "service") != 0) {
        _cw_doc_fail(doc, "kind", "must be \"engine\" or \"service\"");
    }
    _cw_doc_string(doc, "model", out->model, sizeof(out->model), false);
    out->shard_size = _cw_doc_integer(doc, "shard_size", 24, 1, CW_PICK_MAX / 2);
    out->reserve = _cw_doc_integer(doc, "reserve", 0, 0, 10000);
    out->can_resume = _cw_doc_bool(doc, "resumes", false);
    _cw_doc_floors(doc, out);
}

static void _cw_doc_address(_cw_doc_t* doc, char* out, size_t size) {
    _cw_doc_string(doc, "address", out, size, true);
    char ip[CW_ADDRESS_MAX];
    cw_copy(ip, sizeof(ip), out);
    char* colon = strrchr(ip, ':');
    struct in_addr parsed;
    if (!out[0] || !colon) {
        _cw_doc_fail(doc, "address", "must be IP:PORT");
        return;
    }
    *colon = 0;
    int port = (int)strtol(colon + 1, NULL, 10);
    if (inet_pton(AF_INET, ip, &parsed) != 1 || port < 1 || port > 65535) {
        _cw_doc_fail(doc, "address", "must be IP:PORT");
    }
}

static void _cw_parse_upstream(_cw_doc_t* doc, cw_upstream_t* out) {
    _cw_doc_string(doc, "pool", out->pool, sizeof(out->pool), true);
    _cw_doc_address(doc, out->address, sizeof(out->address));
    _cw_doc_string(doc, "hall", out->hall, sizeof(out->hall), true);
    _cw_doc_string(doc, "version", out->version, sizeof(out->version), false);
    out->version_id = cw_name_id(out->version);
    out->slots = _cw_doc_integer(doc, "slots", 8, 1, 100000);
    out->leaving = _cw_doc_bool(doc, "leaving", false);
    out->deduplicates_calls = _cw_doc_bool(doc, "drops_repeats", false);
    out->pool_id = out->pool[0] ? cw_name_id(out->pool) : 0;
}

typedef union _cw_parsed_t {
    cw_workspace_t workspace;
    cw_class_t class;
    cw_pool_t pool;
    cw_upstream_t upstream;
} _cw_parsed_t;

/* Splits a key KIND/NAME; returns CW_RESOURCE_KIND_COUNT when the key names no resource. */
static cw_resource_kind_t _cw_parse_key(const char* key, const char** name) {
    for (int kind = 0; kind < CW_RESOURCE_KIND_COUNT; kind++) {
        const char* prefix = cw_resource_kind_name((cw_resource_kind_t)kind);
        size_t len = strlen(prefix);
        if (strncmp(key, prefix, len) == 0 && key[len] == '/' && key[len + 1]) {
            *name = key + len + 1;
            return strlen(*name) < CW_NAME_MAX ? (cw_resource_kind_t)kind : CW_RESOURCE_KIND_COUNT;
        }
    }
    return CW_RESOURCE_KIND_COUNT;
}

static cw_status_t _cw_parse(const char* key, const char* value, _cw_parsed_t* out, cw_error_t* err) {
    const char* name = NULL;
    cw_resource_kind_t kind = _cw_parse_key(key, &name);
    if (kind == CW_RESOURCE_KIND_COUNT) {
        return cw_fail(err, CW_ERR_INVALID, "validate", NULL, "the key is not KIND/NAME of a known kind");
    }
    memset(out, 0, sizeof(*out));
    _cw_doc_t doc = _cw_doc_open(value, err);
    if (doc.status != CW_OK) {
        json_decref(doc.root);
        return doc.status;
    }
    cw_copy(out->workspace.name, CW_NAME_MAX, name); /* all members of the union begin with name and id */
    out->workspace.id = cw_name_id(name);
    switch (kind) {
        case CW_RESOURCE_WORKSPACE:
            _cw_parse_workspace(&doc, &out->workspace);
            break;
        case CW_RESOURCE_CLASS:
            _cw_parse_class(&doc, &out->class);
            break;
        case CW_RESOURCE_POOL:
            _cw_parse_pool(&doc, &out->pool);
            break;
        default:
            _cw_parse_upstream(&doc, &out->upstream);
            break;
    }
    return _cw_doc_close(&doc);
}

cw_status_t cw_store_validate(const char* key, const char* value, cw_error_t* err) {
    _cw_parsed_t parsed;
    return _cw_parse(key, value, &parsed, err);
}

/* -- snapshots ------------------------------------------------------------ */

static uint64_t _cw_snapshot_key(cw_resource_kind_t kind, uint64_t id) {
    return cw_mix((uint64_t)kind + 1, id);
}

static cw_snapshot_t* _cw_snapshot_new(const cw_allocator_t* a, uint32_t capacity) {
    cw_snapshot_t* snapshot = cw_alloc(a, 1, sizeof(*snapshot));
    snapshot->refs = 1;
    snapshot->by_id = cw_map_setup(capacity + 1, a);
    snapshot->by_digest = cw_map_setup(capacity * CW_WORKSPACE_DIGESTS + 1, a);
    return snapshot;
}

void cw_snapshot_release(cw_snapshot_t* snapshot) {
    assert(snapshot->refs > 0);
    if (--snapshot->refs) {
        return;
    }
    cw_allocator_t a = snapshot->by_id.allocator;
    cw_free(&a, snapshot->workspaces);
    cw_free(&a, snapshot->classes);
    cw_free(&a, snapshot->pools);
    cw_free(&a, snapshot->upstreams);
    cw_map_shutdown(&snapshot->by_id);
    cw_map_shutdown(&snapshot->by_digest);
    cw_free(&a, snapshot);
}

cw_snapshot_t* cw_snapshot_retain(cw_snapshot_t* snapshot) {
    snapshot->refs++;
    return snapshot;
}

static void _cw_snapshot_add_workspace(cw_snapshot_t* snapshot, const cw_workspace_t* w) {
    snapshot->workspaces[snapshot->workspace_count] = *w;
    for (uint32_t i = 0; i < w->digest_count; i++) {
        uint64_t first_bytes;
        memcpy(&first_bytes, w->digests[i], sizeof(first_bytes));
        cw_map_put(&snapshot->by_digest, first_bytes ? first_bytes : 1, snapshot->workspace_count);
    }
    cw_map_put(&snapshot->by_id, _cw_snapshot_key(CW_RESOURCE_WORKSPACE, w->id), snapshot->workspace_count++);
}

static void _cw_snapshot_add(cw_snapshot_t* snapshot, cw_resource_kind_t kind, const _cw_parsed_t* p) {
    uint64_t key = _cw_snapshot_key(kind, p->workspace.id);
    switch (kind) {
        case CW_RESOURCE_WORKSPACE:
            _cw_snapshot_add_workspace(snapshot, &p->workspace);
            break;
        case CW_RESOURCE_CLASS:
            cw_map_put(&snapshot->by_id, key, snapshot->class_count);
            snapshot->classes[snapshot->class_count++] = p->class;
            break;
        case CW_RESOURCE_POOL:
            cw_map_put(&snapshot->by_id, key, snapshot->pool_count);
            snapshot->pools[snapshot->pool_count++] = p->pool;
            break;
        default:
            cw_map_put(&snapshot->by_id, key, snapshot->upstream_count);
            snapshot->upstreams[snapshot->upstream_count++] = p->upstream;
            break;
    }
}

static int _cw_item_compare_keys(const void* a, const void* b) {
    return strcmp((*(cw_store_item_t* const*)a)->key, (*(cw_store_item_t* const*)b)->key);
}

/* Whether every pool that an upstream or a class refers to is in the snapshot; sets reason if one is not. */
static bool _cw_snapshot_has_pools_of(const cw_snapshot_t* snapshot, cw_resource_kind_t kind, const _cw_parsed_t* p,
                                      char* reason) {
    if (kind == CW_RESOURCE_UPSTREAM && !cw_snapshot_pool(snapshot, p->upstream.pool_id)) {
        snprintf(reason, CW_REASON_MAX, "pool \"%s\" is not published", p->upstream.pool);
        return false;
    }
    for (uint32_t i = 0; kind == CW_RESOURCE_CLASS && i < p->class.pool_count; i++) {
        if (!cw_snapshot_pool(snapshot, cw_name_id(p->class.pools[i]))) {
            snprintf(reason, CW_REASON_MAX, "pool \"%s\" is not published", p->class.pools[i]);
            return false;
        }
    }
    return true;
}

/* Adds active documents to the snapshot: either all pools or all documents of other kinds. Pools have to be added
   first, since other kinds refer to them. */
static void _cw_snapshot_fill(cw_store_t* s, cw_snapshot_t* snapshot, cw_store_item_t** sorted, bool pools) {
    for (uint32_t i = 0; i < s->count; i++) {
        cw_store_item_t* item = sorted[i];
        _cw_parsed_t parsed;
        if (!item->active_value || (item->kind == CW_RESOURCE_POOL) != pools ||
            _cw_parse(item->key, item->active_value, &parsed, NULL) != CW_OK) {
            continue;
        }
        char reason[CW_REASON_MAX] = "";
        if (_cw_snapshot_has_pools_of(snapshot, item->kind, &parsed, reason)) {
            _cw_snapshot_add(snapshot, item->kind, &parsed);
        }
        if (item->active_revision == item->revision) {
            cw_copy(item->reason, sizeof(item->reason), reason);
        }
    }
}

static cw_snapshot_t* _cw_store_build_snapshot(cw_store_t* s) {
    const cw_allocator_t* a = &s->desc.allocator;
    uint32_t count_by_kind[CW_RESOURCE_KIND_COUNT] = {0};
    for (uint32_t i = 0; i < s->count; i++) {
        count_by_kind[s->items[i]->kind] += s->items[i]->active_value ? 1 : 0;
    }
    cw_snapshot_t* snapshot = _cw_snapshot_new(a, s->count);
    snapshot->revision = s->revision;
    snapshot->workspaces = cw_alloc(a, count_by_kind[CW_RESOURCE_WORKSPACE], sizeof(*snapshot->workspaces));
    snapshot->classes = cw_alloc(a, count_by_kind[CW_RESOURCE_CLASS], sizeof(*snapshot->classes));
    snapshot->pools = cw_alloc(a, count_by_kind[CW_RESOURCE_POOL], sizeof(*snapshot->pools));
    snapshot->upstreams = cw_alloc(a, count_by_kind[CW_RESOURCE_UPSTREAM], sizeof(*snapshot->upstreams));
    cw_store_item_t** sorted = cw_alloc(a, s->count, sizeof(*sorted));
    memcpy(sorted, s->items, s->count * sizeof(*sorted));
    qsort(sorted, s->count, sizeof(*sorted), _cw_item_compare_keys);
    _cw_snapshot_fill(s, snapshot, sorted, true);
    _cw_snapshot_fill(s, snapshot, sorted, false);
    cw_free(a, sorted);
    return snapshot;
}

static uint32_t _cw_snapshot_index(const cw_snapshot_t* snapshot, cw_resource_kind_t kind, uint64_t id) {
    return id ? cw_map_get(&snapshot->by_id, _cw_snapshot_key(kind, id)) : CW_MAP_NONE;
}

const cw_workspace_t* cw_snapshot_workspace(const cw_snapshot_t* snapshot, uint64_t id) {
    uint32_t i = _cw_snapshot_index(snapshot, CW_RESOURCE_WORKSPACE, id);
    return i == CW_MAP_NONE ? NULL : &snapshot->workspaces[i];
}

const cw_class_t* cw_snapshot_class(const cw_snapshot_t* snapshot, uint64_t id) {
    uint32_t i = _cw_snapshot_index(snapshot, CW_RESOURCE_CLASS, id);
    return i == CW_MAP_NONE ? NULL : &snapshot->classes[i];
}

const cw_pool_t* cw_snapshot_pool(const cw_snapshot_t* snapshot, uint64_t id) {
    uint32_t i = _cw_snapshot_index(snapshot, CW_RESOURCE_POOL, id);
    return i == CW_MAP_NONE ? NULL : &snapshot->pools[i];
}

const cw_upstream_t* cw_snapshot_upstream(const cw_snapshot_t* snapshot, uint64_t id) {
    uint32_t i = _cw_snapshot_index(snapshot, CW_RESOURCE_UPSTREAM, id);
    return i == CW_MAP_NONE ? NULL : &snapshot->upstreams[i];
}

const cw_workspace_t* cw_snapshot_authenticate(const cw_snapshot_t* snapshot, const uint8_t digest[CW_DIGEST_BYTES]) {
    uint64_t first_bytes;
    memcpy(&first_bytes, digest, sizeof(first_bytes));
    uint32_t i = cw_map_get(&snapshot->by_digest, first_bytes ? first_bytes : 1);
    if (i == CW_MAP_NONE) {
        return NULL;
    }
    const cw_workspace_t* w = &snapshot->workspaces[i];
    for (uint32_t d = 0; d < w->digest_count; d++) {
        if (sodium_memcmp(w->digests[d], digest, CW_DIGEST_BYTES) == 0) {
            return w;
        }
    }
    return NULL;
}

/* -- store ---------------------------------------------------------------- */

static cw_store_desc_t _cw_store_desc_defaults(const cw_store_desc_t* desc) {
    cw_store_desc_t d = *desc;
    d.max_items = d.max_items ? d.max_items : 16384;
    return d;
}

cw_store_t* cw_store_setup(const cw_store_desc_t* desc) {
    cw_store_desc_t d = _cw_store_desc_defaults(desc);
    cw_store_t* s = cw_alloc(&d.allocator, 1, sizeof(*s));
    s->desc = d;
    s->items = cw_alloc(&d.allocator, d.max_items, sizeof(*s->items));
    s->by_key = cw_map_setup(d.max_items, &d.allocator);
    s->snapshot = _cw_store_build_snapshot(s);
    return s;
}

static void _cw_store_set_text(cw_store_t* s, char** field, const char* value) {
    cw_free(&s->desc.allocator, *field);
    *field = NULL;
    if (value) {
        size_t size = strlen(value) + 1;
        *field = cw_alloc(&s->desc.allocator, 1, size);
        memcpy(*field, value, size);
    }
}

void cw_store_shutdown(cw_store_t* s) {
    cw_allocator_t a = s->desc.allocator;
    for (uint32_t i = 0; i < s->count; i++) {
        _cw_store_set_text(s, &s->items[i]->value, NULL);
        _cw_store_set_text(s, &s->items[i]->active_value, NULL);
        cw_free(&a, s->items[i]);
    }
    cw_snapshot_release(s->snapshot);
    cw_map_shutdown(&s->by_key);
    cw_free(&a, s->items);
    cw_free(&a, s);
}

static cw_store_item_t* _cw_store_find_or_add(cw_store_t* s, const char* key, cw_resource_kind_t kind) {
    uint64_t id = cw_name_id(key);
    uint32_t i = cw_map_get(&s->by_key, id);
    if (i != CW_MAP_NONE) {
        return s->items[i];
    }
    if (s->count == s->desc.max_items) {
        return NULL;
    }
    cw_store_item_t* item = cw_alloc(&s->desc.allocator, 1, sizeof(*item));
    cw_copy(item->key, sizeof(item->key), key);
    item->kind = kind;
    cw_map_put(&s->by_key, id, s->count);
    s->items[s->count++] = item;
    return item;
}

cw_status_t cw_store_put(cw_store_t* s, const char* key, int64_t revision, const char* value) {
    const char* name = NULL;
    cw_resource_kind_t kind = _cw_parse_key(key, &name);
    if (kind == CW_RESOURCE_KIND_COUNT) {
        return CW_ERR_INVALID;
    }
    cw_store_item_t* item = _cw_store_find_or_add(s, key, kind);
    if (!item) {
        return CW_ERR_FULL;
    }
    if (revision <= item->revision) {
        return revision < item->revision ? CW_ERR_STALE : CW_OK;
    }
    item->revision = revision;
    _cw_store_set_text(s, &item->value, value);
    cw_error_t err = {0};
    if (value && cw_store_validate(key, value, &err) != CW_OK) {
        cw_copy(item->reason, sizeof(item->reason), err.message);
        return CW_ERR_INVALID;
    }
    _cw_store_set_text(s, &item->active_value, value);
    item->active_revision = revision;
    item->reason[0] = 0;
    s->is_dirty = true;
    return CW_OK;
}

void cw_store_commit(cw_store_t* s, int64_t revision) {
    if (revision > s->revision) {
        s->revision = revision;
    }
    if (s->is_dirty) {
        cw_snapshot_t* old = s->snapshot;
        s->snapshot = _cw_store_build_snapshot(s);
        s->is_dirty = false;
        cw_snapshot_release(old);
    }
}

int64_t cw_store_revision(const cw_store_t* s) {
    return s->revision;
}

cw_snapshot_t* cw_store_snapshot(cw_store_t* s) {
    return cw_snapshot_retain(s->snapshot);
}

uint32_t cw_store_count(const cw_store_t* s) {
    return s->count;
}

const cw_store_item_t* cw_store_at(const cw_store_t* s, uint32_t index) {
    assert(index < s->count);
    return s->items[index];
}

const cw_store_item_t* cw_store_find(const cw_store_t* s, const char* key) {
    uint32_t i = cw_map_get(&s->by_key, cw_name_id(key));
    return i == CW_MAP_NONE ? NULL : s->items[i];
}

#endif /* CHALKWAY_STORE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
