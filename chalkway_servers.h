#ifndef CHALKWAY_SERVERS_H
#define CHALKWAY_SERVERS_H
/*
    chalkway_servers.h -- list of the servers behind the pools

    WHAT IT IS
        The servers that are published as living, each with the identity of
        this life of it, and the JSON form in which daemons pass the list on:

            {"at": 530, "age_ms": 120, "servers": [{"id": "i-7f3a", "address": "10.0.0.9:8080", "pool": "llm",
              "hall": "a", "slots": 48, "leaving": false, "cold_ms": 0}],
             "closed": ["b"], "closed_at": 512}

        A hall may be closed for a while: its servers stay on the list and get
        nothing new. What is closed has a revision of its own, so that an
        older word of it never replaces a newer one.

    HOW TO USE IT
            cw_servers_t list = {0};
            if (cw_servers_read(&list, text, size, &err) == CW_OK) { ... }
            char* text = cw_servers_text(&list);    // to be freed
            cw_servers_free(&list);

    WHAT IT DOES NOT DO
        It chooses none (chalkway_balance.h) and connects to none.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_SERVER_ADDRESS_MAX 48

typedef struct cw_server_t {
    char id[CW_NAME_MAX];                /* another one after each start of the server */
    char address[CW_SERVER_ADDRESS_MAX]; /* IP:PORT */
    char pool[CW_NAME_MAX];
    char hall[CW_NAME_MAX];
    uint32_t slots;
    bool leaving;
    uint32_t cold_ms; /* it stays slow for so long */
} cw_server_t;

#define CW_CLOSED_MAX 16 /* halls that are closed at once; more than any region has */

/* Halls whose servers get nothing new. */
typedef struct cw_closed_t {
    int64_t at; /* revision of the source at which it was true, 0: not known */
    uint32_t count;
    char halls[CW_CLOSED_MAX][CW_NAME_MAX];
} cw_closed_t;

typedef struct cw_servers_t {
    cw_closed_t closed;
    int64_t at;      /* revision of the source from which on changes are to be read */
    uint32_t age_ms; /* since it was read, by whoever passes it on */
    uint32_t count, capacity;
    cw_server_t* items;
} cw_servers_t;

/* Reads the JSON form; an entry that is wrong refuses the list. The list must be empty. */
cw_status_t cw_servers_read(cw_servers_t* list, const char* text, size_t size, cw_error_t* err);
/* The JSON form, to be freed by free(). */
char* cw_servers_text(const cw_servers_t* list);
struct json_t;
/* The servers, and the halls that are closed, as fields of a jansson object. */
void cw_servers_json(const cw_servers_t* list, struct json_t* document);
void cw_servers_add(cw_servers_t* list, const cw_server_t* server);
/* Sorts the list by id, which cw_servers_put and cw_servers_remove need. */
void cw_servers_sort(cw_servers_t* list);
/* Adds the server to a sorted list, or replaces what the list says of it. */
void cw_servers_put(cw_servers_t* list, const cw_server_t* server);
/* Takes the server out of a sorted list; nothing where it is not there. */
void cw_servers_remove(cw_servers_t* list, const char* id);
void cw_servers_copy(cw_servers_t* to, const cw_servers_t* from);
void cw_servers_free(cw_servers_t* list);
/* Id of what the list says, whatever its order and age; never 0. */
uint64_t cw_servers_id(const cw_servers_t* list);
/* Adds a hall; one that is there already, or finds no place, changes nothing. False: no place. */
bool cw_closed_add(cw_closed_t* closed, const char* hall);
bool cw_closed_has(const cw_closed_t* closed, const char* hall);
/* The same halls, whatever the order and the revision. */
bool cw_closed_equal(const cw_closed_t* a, const cw_closed_t* b);
/* Whether both say the same of the same server, how long it stays slow among it. */
bool cw_server_equal(const cw_server_t* a, const cw_server_t* b);
/* The same of the same servers in the same order. */
bool cw_servers_equal(const cw_servers_t* a, const cw_servers_t* b);

#endif /* CHALKWAY_SERVERS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVERS_IMPL_INCLUDED
#define CHALKWAY_SERVERS_IMPL_INCLUDED

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

bool cw_closed_has(const cw_closed_t* closed, const char* hall) {
    for (uint32_t i = 0; i < closed->count; i++) {
        if (strcmp(closed->halls[i], hall) == 0) {
            return true;
        }
    }
    return false;
}

bool cw_closed_add(cw_closed_t* closed, const char* hall) {
    if (cw_closed_has(closed, hall)) {
        return true;
    }
    if (closed->count == CW_CLOSED_MAX) {
        return false;
    }
    cw_copy(closed->halls[closed->count++], CW_NAME_MAX, hall);
    return true;
}

bool cw_closed_equal(const cw_closed_t* a, const cw_closed_t* b) {
    for (uint32_t i = 0; i < a->count; i++) {
        if (!cw_closed_has(b, a->halls[i])) {
            return false;
        }
    }
    return a->count == b->count;
}

static int _cw_server_compare(const void* left, const void* right) {
    return strcmp(((const cw_server_t*)left)->id, ((const cw_server_t*)right)->id);
}

void cw_servers_sort(cw_servers_t* list) {
    if (list->count) {
        qsort(list->items, list->count, sizeof(*list->items), _cw_server_compare);
    }
}

/* Where the id stands in a sorted list, or would go. */
static uint32_t _cw_servers_place(const cw_servers_t* list, const char* id) {
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

static bool _cw_servers_is_at(const cw_servers_t* list, uint32_t at, const char* id) {
    return at < list->count && strcmp(list->items[at].id, id) == 0;
}

void cw_servers_put(cw_servers_t* list, const cw_server_t* server) {
    uint32_t at = _cw_servers_place(list, server->id);
    if (!_cw_servers_is_at(list, at, server->id)) {
        cw_servers_add(list, server);
        memmove(&list->items[at + 1], &list->items[at], (list->count - 1 - at) * sizeof(*list->items));
    }
    list->items[at] = *server;
}

void cw_servers_remove(cw_servers_t* list, const char* id) {
    uint32_t at = _cw_servers_place(list, id);
    if (_cw_servers_is_at(list, at, id)) {
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

uint64_t cw_servers_id(const cw_servers_t* list) {
    uint64_t id = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        const cw_server_t* s = &list->items[i];
        uint64_t state = (uint64_t)s->leaving + 1 + 2 * (uint64_t)(s->cold_ms > 0);
        id += cw_mix(cw_name_id(s->id), cw_mix(cw_name_id(s->address), state));
    }
    for (uint32_t i = 0; i < list->closed.count; i++) {
        id += cw_mix(cw_name_id(list->closed.halls[i]), list->closed.count);
    }
    return id ? id : 1;
}

bool cw_server_equal(const cw_server_t* a, const cw_server_t* b) {
    return strcmp(a->id, b->id) == 0 && strcmp(a->address, b->address) == 0 && strcmp(a->pool, b->pool) == 0 &&
           strcmp(a->hall, b->hall) == 0 && a->slots == b->slots && a->leaving == b->leaving &&
           a->cold_ms == b->cold_ms;
}

bool cw_servers_equal(const cw_servers_t* a, const cw_servers_t* b) {
    if (a->count != b->count || !cw_closed_equal(&a->closed, &b->closed)) {
        return false;
    }
    for (uint32_t i = 0; i < a->count; i++) {
        if (!cw_server_equal(&a->items[i], &b->items[i])) {
            return false;
        }
    }
    return true;
}

static bool _cw_servers_text(const json_t* o, const char* key, char* out, size_t size) {
    const char* text = json_string_value(json_object_get(o, key));
    if (!text || !text[0] || strlen(text) >= size) {
        return false;
    }
    cw_copy(out, size, text);
    return true;
}

static bool _cw_servers_entry(const json_t* o, cw_server_t* s) {
    *s = (cw_server_t){.slots = (uint32_t)json_integer_value(json_object_get(o, "slots")),
                       .leaving = json_is_true(json_object_get(o, "leaving")),
                       .cold_ms = (uint32_t)json_integer_value(json_object_get(o, "cold_ms"))};
    return _cw_servers_text(o, "id", s->id, sizeof(s->id)) &&
           _cw_servers_text(o, "address", s->address, sizeof(s->address)) &&
           _cw_servers_text(o, "pool", s->pool, sizeof(s->pool)) &&
           _cw_servers_text(o, "hall", s->hall, sizeof(s->hall));
}

static cw_status_t _cw_closed_read(cw_closed_t* closed, const json_t* document, cw_error_t* err) {
    const json_t* halls = json_object_get(document, "closed");
    closed->at = json_integer_value(json_object_get(document, "closed_at"));
    for (size_t i = 0; i < json_array_size(halls); i++) {
        const char* hall = json_string_value(json_array_get(halls, i));
        if (!hall || !cw_closed_add(closed, hall)) {
            return cw_fail(err, CW_ERR_INVALID, "servers", NULL, "closed hall %zu is no name, or one too many", i);
        }
    }
    return CW_OK;
}

cw_status_t cw_servers_read(cw_servers_t* list, const char* text, size_t size, cw_error_t* err) {
    json_error_t problem;
    json_t* document = json_loadb(text, size, 0, &problem);
    const json_t* items = json_object_get(document, "servers");
    cw_status_t status = CW_OK;
    if (!json_is_array(items)) {
        status = cw_fail(err, CW_ERR_INVALID, "servers", NULL, "no list of servers: %s",
                         document ? "the field is missing" : problem.text);
    }
    list->at = json_integer_value(json_object_get(document, "at"));
    list->age_ms = (uint32_t)json_integer_value(json_object_get(document, "age_ms"));
    status = status == CW_OK ? _cw_closed_read(&list->closed, document, err) : status;
    for (size_t i = 0; i < json_array_size(items) && status == CW_OK; i++) {
        cw_server_t server;
        if (_cw_servers_entry(json_array_get(items, i), &server)) {
            cw_servers_add(list, &server);
        } else {
            status = cw_fail(err, CW_ERR_INVALID, "servers", NULL, "entry %zu lacks id, address, pool or hall", i);
        }
    }
    json_decref(document);
    if (status != CW_OK) {
        cw_servers_free(list);
    }
    return status;
}

void cw_servers_json(const cw_servers_t* list, json_t* document) {
    json_t* items = json_array();
    json_t* closed = json_array();
    for (uint32_t i = 0; i < list->count; i++) {
        const cw_server_t* s = &list->items[i];
        json_array_append_new(items, json_pack("{s:s,s:s,s:s,s:s,s:i,s:b,s:i}", "id", s->id, "address", s->address,
                                               "pool", s->pool, "hall", s->hall, "slots", (int)s->slots, "leaving",
                                               (int)s->leaving, "cold_ms", (int)s->cold_ms));
    }
    for (uint32_t i = 0; i < list->closed.count; i++) {
        json_array_append_new(closed, json_string(list->closed.halls[i]));
    }
    json_object_set_new(document, "servers", items);
    json_object_set_new(document, "closed", closed);
    json_object_set_new(document, "closed_at", json_integer(list->closed.at));
}

char* cw_servers_text(const cw_servers_t* list) {
    json_t* document = json_pack("{s:I,s:i}", "at", (json_int_t)list->at, "age_ms", (int)list->age_ms);
    cw_servers_json(list, document);
    char* text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

#endif /* CHALKWAY_SERVERS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
