#ifndef CHALKWAY_SERVERS_H
#define CHALKWAY_SERVERS_H
/*
    chalkway_servers.h -- list of the servers in all pools

    WHAT IT IS
        The servers that a source publishes as alive, and the JSON form in
        which daemons pass the list to each other:

            {"at": 530, "age_ms": 120, "servers": [{"id": "i-7f3a", "address": "10.0.0.9:8080", "pool": "llm",
              "hall": "a", "version": "1.4", "slots": 48, "leaving": false, "cold_ms": 0, "started_ms": 1767744000123,
              "revision": 498}], "closed": ["b"], "closed_at": 512}

        A server may restart under the same id and has then lost its caches
        and its requests. An incarnation is therefore identified by id and
        start time (cw_server_incarnation_id). version, leaving, cold_ms,
        started_ms and revision are optional; a source without start times has to give each
        incarnation an id of its own.

        One table of fields validates the entries of all sources, which
        differ in the names of the fields only: see cw_server_field_names_t and
        cw_server_parse. An invalid entry adds no server; what one form of
        the list takes, the others take, too.

        A hall may be closed for a while: its servers stay on the list but
        get no new requests. The set of closed halls carries a revision of
        its own, so that an older set never replaces a newer one.

    HOW TO USE IT
            cw_servers_t list = {0};
            if (cw_servers_from_json(&list, text, size, &err) == CW_OK) { ... }
            char* text = cw_servers_to_json(&list);    // free it with free()
            cw_servers_free(&list);

    WHAT IT DOES NOT DO
        It selects no server (chalkway_balance.h) and opens no connections.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_json.h"

#define CW_SERVER_ADDRESS_MAX 48 /* bytes of an address, with its terminating zero */

typedef struct cw_server_t {
    char id[CW_NAME_MAX];
    char address[CW_SERVER_ADDRESS_MAX]; /* IP:PORT */
    char pool[CW_NAME_MAX];
    char hall[CW_NAME_MAX];
    char
        version[CW_NAME_MAX]; /* of its software, "": unknown, which is a version of its own; a long one is shortened */
    uint32_t slots;           /* concurrent requests */
    bool leaving;             /* finishes its requests and gets no new ones */
    uint32_t cold_ms;         /* time after its start during which it is slow */
    int64_t started_ms;       /* start time by the server's own clock, Unix ms; 0: unknown */
    int64_t revision; /* source revision at or after the entry's last change, 0: unknown; ignored by comparisons */
} cw_server_t;

/* Names that a source gives to the fields of an entry; NULL: the source does not have the field. */
typedef struct cw_server_field_names_t {
    const char* address;
    const char* pool;
    const char* hall;
    const char* slots;
    const char* cold_ms;
    const char* started_ms;
    const char* leaving;       /* a boolean, for sources without state */
    const char* state;         /* a text with one of the next two values, for sources without leaving */
    const char* state_ready;   /* value of state */
    const char* state_leaving; /* value of state */
    const char* version;       /* a text, required if is_strict */
    const char* unused_count;  /* an integer that is required but not used */
    bool is_strict;            /* leaving or state, cold_ms and version are required */
} cw_server_field_names_t;

/* Why an entry is invalid. */
typedef struct cw_server_fault_t {
    const char* field;
    const char* reason;
} cw_server_fault_t;

/* Invalid entries that were refused while the list was read; cw_servers_copy does not copy them. */
typedef struct cw_refused_entries_t {
    uint32_t count;
    char key[CW_NAME_MAX]; /* of the last refused entry, truncated */
    cw_server_fault_t fault;
} cw_refused_entries_t;

#define CW_CLOSED_MAX 16 /* halls closed at the same time; more than any region has */

/* Halls whose servers get no new requests. */
typedef struct cw_closed_halls_t {
    int64_t at; /* source revision of this set, 0: unknown */
    uint32_t count;
    char halls[CW_CLOSED_MAX][CW_NAME_MAX];
} cw_closed_halls_t;

typedef struct cw_servers_t {
    cw_closed_halls_t closed;
    int64_t at;      /* source revision up to which the list includes every change */
    uint32_t age_ms; /* age of the list when it was sent: time since it was read from the source */
    cw_refused_entries_t refused;
    uint32_t count, capacity;
    cw_server_t* items;
} cw_servers_t;

/* Reads the JSON form, in its order. Invalid entries and closed halls are refused one by one, whatever they hold; the
   whole list is refused if it has entries and none of them is valid. The list must be empty. */
cw_status_t cw_servers_from_json(cw_servers_t* list, const char* text, size_t size, cw_error_t* err);
/* Returns the JSON form, which the caller frees with free(). */
char* cw_servers_to_json(const cw_servers_t* list);
struct json_t;
/* Reads and validates one entry. Returns false and sets fault when it is invalid. */
bool cw_server_parse(cw_server_t* server, const char* id, const struct json_t* entry,
                     const cw_server_field_names_t* names, cw_server_fault_t* fault);
/* Counts an invalid entry and records its key and fault. */
void cw_servers_refuse(cw_servers_t* list, const char* key, cw_server_fault_t fault);
/* NULL if the name can stand in log lines, header fields and every form of the list without escaping: UTF-8 without
   spaces, quotes, backslashes and control characters; else why not. */
const char* cw_server_name_fault(const char* name);
/* Of the entries of one id, keeps the latest start. The list must be sorted. */
void cw_servers_refuse_duplicates(cw_servers_t* list);
/* Refuses the entries without a start time if at least half of the entries, and more than one, have one: the servers of
   a source write start times all or none, and another writer's entry decides nothing about theirs. */
void cw_servers_refuse_without_start(cw_servers_t* list);
/* Id of this incarnation of the server: hash of its id and start time. */
uint64_t cw_server_incarnation_id(const cw_server_t* server);
/* Id of the version of the server's software, never 0. */
uint64_t cw_server_version_id(const cw_server_t* server);
/* Sets the servers and the closed halls as fields of a jansson object. */
void cw_servers_add_to_json(const cw_servers_t* list, struct json_t* document);
/* Appends the server without sorting the list. */
void cw_servers_add(cw_servers_t* list, const cw_server_t* server);
/* Sorts the list by id, as cw_servers_put and cw_servers_remove require. */
void cw_servers_sort(cw_servers_t* list);
/* Inserts the server into a sorted list, or replaces the entry with its id. */
void cw_servers_put(cw_servers_t* list, const cw_server_t* server);
/* Removes the server from a sorted list, if it is there. */
void cw_servers_remove(cw_servers_t* list, const char* id);
void cw_servers_copy(cw_servers_t* to, const cw_servers_t* from);
void cw_servers_free(cw_servers_t* list);
/* Hash of the servers' incarnations, addresses and states and of the closed halls, independent of the order and age of
   the list; never 0. */
uint64_t cw_servers_hash(const cw_servers_t* list);
/* Adds a hall unless it is already there. Returns false when the set is full. */
bool cw_closed_halls_add(cw_closed_halls_t* closed, const char* hall);
bool cw_closed_halls_contains(const cw_closed_halls_t* closed, const char* hall);
/* Whether both hold the same halls, in any order and at any revision. */
bool cw_closed_halls_equal(const cw_closed_halls_t* a, const cw_closed_halls_t* b);
/* Whether all fields are equal, including cold_ms, but apart from revision. */
bool cw_server_equal(const cw_server_t* a, const cw_server_t* b);
/* Whether both hold equal servers in the same order, and the same closed halls. */
bool cw_servers_equal(const cw_servers_t* a, const cw_servers_t* b);

#endif /* CHALKWAY_SERVERS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVERS_IMPL_INCLUDED
#define CHALKWAY_SERVERS_IMPL_INCLUDED

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

void cw_servers_add(cw_servers_t* list, const cw_server_t* server) {
    if (list->count == list->capacity) {
        list->capacity = list->capacity ? list->capacity * 2 : 32;
        cw_server_t* grown = realloc(list->items, list->capacity * sizeof(*grown));
        if (!grown) {
            abort();
        }
        list->items = grown;
    }
    list->items[list->count++] = *server;
}

bool cw_closed_halls_contains(const cw_closed_halls_t* closed, const char* hall) {
    for (uint32_t i = 0; i < closed->count; i++) {
        if (strcmp(closed->halls[i], hall) == 0) {
            return true;
        }
    }
    return false;
}

bool cw_closed_halls_add(cw_closed_halls_t* closed, const char* hall) {
    if (cw_closed_halls_contains(closed, hall)) {
        return true;
    }
    if (closed->count == CW_CLOSED_MAX) {
        return false;
    }
    cw_copy(closed->halls[closed->count++], CW_NAME_MAX, hall);
    return true;
}

bool cw_closed_halls_equal(const cw_closed_halls_t* a, const cw_closed_halls_t* b) {
    for (uint32_t i = 0; i < a->count; i++) {
        if (!cw_closed_halls_contains(b, a->halls[i])) {
            return false;
        }
    }
    return a->count == b->count;
}

/* By id; entries of one id by their start, the latest first, then by what they hold: every host keeps the same one. */
static int _cw_server_compare(const void* left, const void* right) {
    const cw_server_t* a = left;
    const cw_server_t* b = right;
    int by_id = strcmp(a->id, b->id);
    if (by_id) {
        return by_id;
    }
    if (a->started_ms != b->started_ms) {
        return a->started_ms > b->started_ms ? -1 : 1;
    }
    int by_address = strcmp(a->address, b->address);
    int by_version = strcmp(a->version, b->version);
    return by_address ? by_address : by_version ? by_version : (int)b->leaving - (int)a->leaving;
}

void cw_servers_sort(cw_servers_t* list) {
    if (list->count) {
        qsort(list->items, list->count, sizeof(*list->items), _cw_server_compare);
    }
}

/* Index of the id in a sorted list, or the index at which to insert it. */
static uint32_t _cw_servers_lower_bound(const cw_servers_t* list, const char* id) {
    uint32_t low = 0;
    uint32_t high = list->count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (strcmp(list->items[middle].id, id) < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

static bool _cw_servers_has_id_at(const cw_servers_t* list, uint32_t at, const char* id) {
    return at < list->count && strcmp(list->items[at].id, id) == 0;
}

void cw_servers_put(cw_servers_t* list, const cw_server_t* server) {
    uint32_t at = _cw_servers_lower_bound(list, server->id);
    if (!_cw_servers_has_id_at(list, at, server->id)) {
        cw_servers_add(list, server);
        memmove(&list->items[at + 1], &list->items[at], (list->count - 1 - at) * sizeof(*list->items));
    }
    list->items[at] = *server;
}

void cw_servers_remove(cw_servers_t* list, const char* id) {
    uint32_t at = _cw_servers_lower_bound(list, id);
    if (_cw_servers_has_id_at(list, at, id)) {
        list->count--;
        memmove(&list->items[at], &list->items[at + 1], (list->count - at) * sizeof(*list->items));
    }
}

void cw_servers_copy(cw_servers_t* to, const cw_servers_t* from) {
    *to = (cw_servers_t){.closed = from->closed, .at = from->at, .age_ms = from->age_ms};
    for (uint32_t i = 0; i < from->count; i++) {
        cw_servers_add(to, &from->items[i]);
    }
}

void cw_servers_free(cw_servers_t* list) {
    free(list->items);
    *list = (cw_servers_t){0};
}

uint64_t cw_server_incarnation_id(const cw_server_t* server) {
    uint64_t id = cw_name_id(server->id);
    return server->started_ms ? cw_mix(id, (uint64_t)server->started_ms) : id;
}

uint64_t cw_server_version_id(const cw_server_t* server) {
    return cw_name_id(server->version);
}

void cw_servers_refuse(cw_servers_t* list, const char* key, cw_server_fault_t fault) {
    list->refused.count++;
    list->refused.fault = fault;
    cw_copy(list->refused.key, sizeof(list->refused.key), key);
    for (char* c = list->refused.key; *c; c++) {
        *c = (unsigned char)*c <= ' ' || *c == 0x7f || *c == '"' ? '?' : *c; /* the key is written into a log line */
    }
}

void cw_servers_refuse_duplicates(cw_servers_t* list) {
    uint32_t kept = list->count ? 1 : 0;
    for (uint32_t i = 1; i < list->count; i++) {
        if (strcmp(list->items[i].id, list->items[kept - 1].id) != 0) {
            list->items[kept++] = list->items[i];
        } else {
            cw_servers_refuse(list, list->items[i].id, (cw_server_fault_t){"id", "another entry has it, too"});
        }
    }
    list->count = kept;
}

static bool _cw_servers_have_starts(const cw_servers_t* list) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        count += list->items[i].started_ms != 0;
    }
    return count > 1 && 2 * (uint64_t)count >= list->count;
}

void cw_servers_refuse_without_start(cw_servers_t* list) {
    if (!_cw_servers_have_starts(list)) {
        return;
    }
    uint32_t kept = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->items[i].started_ms) {
            list->items[kept++] = list->items[i];
        } else {
            cw_servers_refuse(list, list->items[i].id,
                              (cw_server_fault_t){"start", "missing, while other entries have one"});
        }
    }
    list->count = kept;
}

uint64_t cw_servers_hash(const cw_servers_t* list) {
    uint64_t hash = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        const cw_server_t* s = &list->items[i];
        uint64_t state = (uint64_t)s->leaving + 1 + 2 * (uint64_t)(s->cold_ms > 0);
        uint64_t version = s->version[0] ? cw_server_version_id(s) : 0;
        hash += cw_mix(cw_server_incarnation_id(s), cw_mix(cw_name_id(s->address), state) ^ version);
    }
    for (uint32_t i = 0; i < list->closed.count; i++) {
        hash += cw_mix(cw_name_id(list->closed.halls[i]), list->closed.count);
    }
    return hash ? hash : 1;
}

bool cw_server_equal(const cw_server_t* a, const cw_server_t* b) {
    return strcmp(a->id, b->id) == 0 && strcmp(a->address, b->address) == 0 && strcmp(a->pool, b->pool) == 0 &&
           strcmp(a->hall, b->hall) == 0 && strcmp(a->version, b->version) == 0 && a->slots == b->slots &&
           a->leaving == b->leaving && a->cold_ms == b->cold_ms && a->started_ms == b->started_ms;
}

bool cw_servers_equal(const cw_servers_t* a, const cw_servers_t* b) {
    if (a->count != b->count || !cw_closed_halls_equal(&a->closed, &b->closed)) {
        return false;
    }
    for (uint32_t i = 0; i < a->count; i++) {
        if (!cw_server_equal(&a->items[i], &b->items[i])) {
            return false;
        }
    }
    return true;
}

/* -- validation of an entry ----------------------------------------------- */

#define _CW_SLOTS_MAX 1000000 /* no server runs more requests at once */
#define _CW_VERSION_PREFIX 32 /* bytes of a long version that remain beside its hash */

typedef enum _cw_field_kind_t {
    _CW_FIELD_NAME = 0,     /* visible characters that log lines and header fields hold without escaping */
    _CW_FIELD_POOL,         /* the same; a long one is shortened */
    _CW_FIELD_VERSION,      /* the same, of any length */
    _CW_FIELD_ADDRESS,      /* IPv4:PORT */
    _CW_FIELD_COUNT,        /* an integer */
    _CW_FIELD_TIMESTAMP_MS, /* an integer, Unix ms */
    _CW_FIELD_DURATION_MS,  /* a number of ms, fractions allowed */
    _CW_FIELD_BOOL,
    _CW_FIELD_STATE
} _cw_field_kind_t;

/* One field of an entry: its type, its bounds, and where its value is stored; out NULL: it is validated only. */
typedef struct _cw_field_t {
    const char* name; /* NULL: the source does not have the field */
    _cw_field_kind_t kind;
    bool is_required;
    int64_t min, max;
    void* out;
    size_t size; /* of a text, with its terminating zero */
} _cw_field_t;

const char* cw_server_name_fault(const char* name) {
    for (const unsigned char* c = (const unsigned char*)name; *c; c++) {
        bool is_c1_control = c[0] == 0xc2 && c[1] < 0xa0;
        if (*c <= ' ' || *c == 0x7f || *c == '"' || *c == '\\' || is_c1_control) {
            return "contains a space, a quote, a backslash or a control character";
        }
    }
    json_t* text = json_string(name);
    json_decref(text);
    return !text ? "not UTF-8" : *name ? NULL : "empty";
}

static const char* _cw_field_read_name(const _cw_field_t* f, const char* text) {
    if (strlen(text) >= f->size) {
        return "too long";
    }
    if (f->out) {
        cw_copy(f->out, f->size, text);
    }
    return cw_server_name_fault(text);
}

static const char* _cw_field_read_pool(const _cw_field_t* f, const char* text) {
    cw_name_shorten(text, f->out);
    return cw_server_name_fault(text);
}

/* A text that is too long is shortened, and the hash of the whole text distinguishes it from others. */
static const char* _cw_field_read_version(const _cw_field_t* f, const char* text) {
    char shortened[CW_NAME_MAX];
    const _cw_field_t any_length = {f->name, f->kind, false, 0, 0, NULL, SIZE_MAX};
    const char* fault = _cw_field_read_name(&any_length, text);
    if (!fault && strlen(text) >= f->size) {
        snprintf(shortened, sizeof(shortened), "%.*s~%016llx", (int)cw_utf8_fit(text, _CW_VERSION_PREFIX), text,
                 (unsigned long long)cw_name_id(text));
    }
    if (!fault) {
        cw_copy(f->out, f->size, strlen(text) < f->size ? text : shortened);
    }
    return fault;
}

static const char* _cw_field_read_address(const _cw_field_t* f, const char* text) {
    char ip[CW_SERVER_ADDRESS_MAX];
    struct in_addr parsed;
    const char* colon = strrchr(text, ':');
    size_t digits = colon ? strspn(colon + 1, "0123456789") : 0;
    if (!colon || strlen(text) >= f->size || !digits || digits > 5 || colon[1 + digits]) {
        return "not an address of the form IP:PORT";
    }
    cw_copy(ip, sizeof(ip), text);
    ip[colon - text] = 0;
    long port = strtol(colon + 1, NULL, 10);
    if (port < 1 || port > UINT16_MAX || inet_pton(AF_INET, ip, &parsed) != 1) {
        return "not an address of the form IP:PORT";
    }
    snprintf(f->out, f->size, "%s:%ld", ip, port); /* the port may have leading zeros */
    return NULL;
}

static const char* _cw_field_read_integer(const _cw_field_t* f, const json_t* value) {
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value)) {
        return "not an integer";
    }
    if (number < f->min || number > f->max) {
        return "out of range";
    }
    if (f->out && f->kind == _CW_FIELD_TIMESTAMP_MS) {
        *(int64_t*)f->out = number;
    } else if (f->out) {
        *(uint32_t*)f->out = (uint32_t)number;
    }
    return NULL;
}

static const char* _cw_field_read_duration(const _cw_field_t* f, const json_t* value) {
    double ms = json_number_value(value);
    if (!json_is_number(value) || !(ms >= (double)f->min && ms <= (double)f->max)) {
        return "not a duration in ms, or out of range";
    }
    *(uint32_t*)f->out = (uint32_t)ms;
    return NULL;
}

static const char* _cw_field_read_state(const _cw_field_t* f, const char* word, const cw_server_field_names_t* names) {
    bool leaving = strcmp(word, names->state_leaving) == 0;
    if (!leaving && strcmp(word, names->state_ready) != 0) {
        return "unknown state";
    }
    *(bool*)f->out = leaving;
    return NULL;
}

/* Reads one field; returns the reason why it is invalid, or NULL. */
static const char* _cw_field_read(const _cw_field_t* f, const json_t* entry, const cw_server_field_names_t* names) {
    const json_t* value = f->name ? json_object_get(entry, f->name) : NULL;
    if (!value) {
        return f->name && f->is_required ? "missing" : NULL;
    }
    switch (f->kind) {
        case _CW_FIELD_NAME:
            return json_is_string(value) ? _cw_field_read_name(f, json_string_value(value)) : "not a string";
        case _CW_FIELD_POOL:
            return json_is_string(value) ? _cw_field_read_pool(f, json_string_value(value)) : "not a string";
        case _CW_FIELD_VERSION:
            return json_is_string(value) ? _cw_field_read_version(f, json_string_value(value)) : "not a string";
        case _CW_FIELD_ADDRESS:
            return json_is_string(value) ? _cw_field_read_address(f, json_string_value(value)) : "not a string";
        case _CW_FIELD_STATE:
            return json_is_string(value) ? _cw_field_read_state(f, json_string_value(value), names) : "not a string";
        case _CW_FIELD_COUNT:
        case _CW_FIELD_TIMESTAMP_MS:
            return _cw_field_read_integer(f, value);
        case _CW_FIELD_DURATION_MS:
            return _cw_field_read_duration(f, value);
        case _CW_FIELD_BOOL:
            if (json_is_boolean(value)) {
                *(bool*)f->out = json_is_true(value);
            }
            return json_is_boolean(value) ? NULL : "not a boolean";
    }
    return NULL;
}

bool cw_server_parse(cw_server_t* server, const char* id, const json_t* entry, const cw_server_field_names_t* names,
                     cw_server_fault_t* fault) {
    const _cw_field_t fields[] = {
        {names->pool, _CW_FIELD_POOL, true, 0, 0, server->pool, sizeof(server->pool)},
        {names->address, _CW_FIELD_ADDRESS, true, 0, 0, server->address, sizeof(server->address)},
        {names->hall, _CW_FIELD_NAME, true, 0, 0, server->hall, sizeof(server->hall)},
        {names->slots, _CW_FIELD_COUNT, true, 1, _CW_SLOTS_MAX, &server->slots, 0},
        {names->leaving, _CW_FIELD_BOOL, names->is_strict, 0, 0, &server->leaving, 0},
        {names->state, _CW_FIELD_STATE, names->is_strict, 0, 0, &server->leaving, 0},
        {names->cold_ms, _CW_FIELD_DURATION_MS, names->is_strict, 0, UINT32_MAX, &server->cold_ms, 0},
        {names->started_ms, _CW_FIELD_TIMESTAMP_MS, false, 1, INT64_MAX, &server->started_ms, 0},
        {names->version, _CW_FIELD_VERSION, names->is_strict, 0, 0, server->version, sizeof(server->version)},
        {names->unused_count, _CW_FIELD_COUNT, true, 0, INT64_MAX, NULL, 0},
    };
    const _cw_field_t id_field = {"id", _CW_FIELD_NAME, true, 0, 0, server->id, sizeof(server->id)};
    *server = (cw_server_t){0};
    *fault = (cw_server_fault_t){"id", id ? _cw_field_read_name(&id_field, id) : "missing"};
    if (!fault->reason && !json_is_object(entry)) {
        *fault = (cw_server_fault_t){"entry", "not a JSON object"};
    }
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]) && !fault->reason; i++) {
        *fault = (cw_server_fault_t){fields[i].name, _cw_field_read(&fields[i], entry, names)};
    }
    return !fault->reason;
}

/* -- JSON form ------------------------------------------------------------ */

static const cw_server_field_names_t _cw_servers_names = {.address = "address",
                                                          .pool = "pool",
                                                          .hall = "hall",
                                                          .version = "version",
                                                          .slots = "slots",
                                                          .cold_ms = "cold_ms",
                                                          .started_ms = "started_ms",
                                                          .leaving = "leaving"};

#define _CW_KEY_UNKNOWN "-" /* of an entry that has no readable id */

/* Members of the document. */
enum {
    _CW_SERVERS_AT,
    _CW_SERVERS_AGE,
    _CW_SERVERS_ITEMS,
    _CW_SERVERS_CLOSED,
    _CW_SERVERS_CLOSED_AT,
    _CW_SERVERS_MEMBERS
};

static const char* const _cw_servers_members[_CW_SERVERS_MEMBERS] = {
    [_CW_SERVERS_AT] = "at",         [_CW_SERVERS_AGE] = "age_ms",          [_CW_SERVERS_ITEMS] = "servers",
    [_CW_SERVERS_CLOSED] = "closed", [_CW_SERVERS_CLOSED_AT] = "closed_at",
};

/* An integer, 0 if it is missing, something else or out of range. */
static int64_t _cw_servers_read_integer(cw_json_text_t text, int64_t max) {
    json_t* value = text.text ? json_loadb(text.text, text.size, JSON_DECODE_ANY, NULL) : NULL;
    json_int_t number = json_integer_value(value);
    json_decref(value);
    return number < 0 || number > max ? 0 : number;
}

static void _cw_servers_read_entry(cw_servers_t* list, cw_json_text_t text) {
    cw_server_t server;
    cw_server_fault_t fault = {"entry", "not readable JSON"};
    json_t* entry = json_loadb(text.text, text.size, JSON_DECODE_ANY, NULL);
    const char* id = json_string_value(json_object_get(entry, "id"));
    if (entry && cw_server_parse(&server, id, entry, &_cw_servers_names, &fault)) {
        json_int_t revision = json_integer_value(json_object_get(entry, "revision"));
        server.revision = revision > 0 ? revision : 0;
        cw_servers_add(list, &server);
    } else {
        cw_servers_refuse(list, id ? id : _CW_KEY_UNKNOWN, fault);
    }
    json_decref(entry);
}

static void _cw_servers_read_closed_hall(cw_servers_t* list, cw_json_text_t text) {
    json_t* hall = json_loadb(text.text, text.size, JSON_DECODE_ANY, NULL);
    const char* name = json_string_value(hall);
    const char* reason = !name ? "not a string" : strlen(name) >= CW_NAME_MAX ? "too long" : cw_server_name_fault(name);
    if (!reason && !cw_closed_halls_add(&list->closed, name)) {
        reason = "more halls than may be closed at once";
    }
    if (reason) {
        cw_servers_refuse(list, name ? name : _CW_KEY_UNKNOWN, (cw_server_fault_t){"closed", reason});
    }
    json_decref(hall);
}

/* Passes the items of the array to read. Returns false if it is no array, or a broken one. */
static bool _cw_servers_read_items(cw_servers_t* list, cw_json_text_t array,
                                   void (*read)(cw_servers_t* list, cw_json_text_t text)) {
    cw_json_text_t item;
    cw_json_items_t items;
    if (!cw_json_items_begin(&items, array)) {
        return false;
    }
    while (cw_json_items_next(&items, &item)) {
        read(list, item);
    }
    return !items.is_broken;
}

/* Returns why the document is no list of servers, or NULL. */
static const char* _cw_servers_read_document(cw_servers_t* list, cw_json_text_t document) {
    cw_json_text_t values[_CW_SERVERS_MEMBERS];
    if (!cw_json_members(document, _cw_servers_members, values, _CW_SERVERS_MEMBERS)) {
        return "not a whole JSON object";
    }
    if (!_cw_servers_read_items(list, values[_CW_SERVERS_ITEMS], _cw_servers_read_entry)) {
        return "the field servers is missing or no list";
    }
    if (!list->count && list->refused.count) {
        return list->refused.fault.reason;
    }
    if (values[_CW_SERVERS_CLOSED].text &&
        !_cw_servers_read_items(list, values[_CW_SERVERS_CLOSED], _cw_servers_read_closed_hall)) {
        return "the field closed is no list";
    }
    list->at = _cw_servers_read_integer(values[_CW_SERVERS_AT], INT64_MAX);
    list->age_ms = (uint32_t)_cw_servers_read_integer(values[_CW_SERVERS_AGE], UINT32_MAX);
    list->closed.at = _cw_servers_read_integer(values[_CW_SERVERS_CLOSED_AT], INT64_MAX);
    return NULL;
}

/* Each entry is parsed by itself, so that none that the JSON library doesn't take hides the others. */
cw_status_t cw_servers_from_json(cw_servers_t* list, const char* text, size_t size, cw_error_t* err) {
    const char* fault = _cw_servers_read_document(list, (cw_json_text_t){text, size});
    if (fault) {
        cw_servers_free(list);
        return cw_fail(err, CW_ERR_INVALID, "servers", NULL, "no list of servers: %s", fault);
    }
    return CW_OK;
}

void cw_servers_add_to_json(const cw_servers_t* list, json_t* document) {
    json_t* items = json_array();
    json_t* closed = json_array();
    for (uint32_t i = 0; i < list->count; i++) {
        const cw_server_t* s = &list->items[i];
        json_t* entry =
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:b,s:I}", "id", s->id, "address", s->address, "pool", s->pool, "hall",
                      s->hall, "slots", (int)s->slots, "leaving", (int)s->leaving, "cold_ms", (json_int_t)s->cold_ms);
        if (s->version[0]) {
            json_object_set_new(entry, "version", json_string(s->version));
        }
        if (s->started_ms) {
            json_object_set_new(entry, "started_ms", json_integer(s->started_ms));
        }
        if (s->revision) {
            json_object_set_new(entry, "revision", json_integer(s->revision));
        }
        json_array_append_new(items, entry);
    }
    for (uint32_t i = 0; i < list->closed.count; i++) {
        json_array_append_new(closed, json_string(list->closed.halls[i]));
    }
    json_object_set_new(document, "servers", items);
    json_object_set_new(document, "closed", closed);
    json_object_set_new(document, "closed_at", json_integer(list->closed.at));
}

char* cw_servers_to_json(const cw_servers_t* list) {
    json_t* document = json_pack("{s:I,s:I}", "at", (json_int_t)list->at, "age_ms", (json_int_t)list->age_ms);
    cw_servers_add_to_json(list, document);
    char* text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

#endif /* CHALKWAY_SERVERS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
