#ifndef CHALKWAY_SERVERS_H
#define CHALKWAY_SERVERS_H
/*
    chalkway_servers.h -- list of the servers behind the pools

    WHAT IT IS
        The servers that are published as living, each with the identity of
        this life of it, and the JSON form in which daemons pass the list on:

            {"at": 530, "age_ms": 120, "servers": [{"id": "i-7f3a", "address": "10.0.0.9:8080", "pool": "llm",
              "hall": "a", "slots": 48, "leaving": false, "cold_ms": 0, "started_ms": 1767744000123,
              "revision": 498}], "closed": ["b"], "closed_at": 512}

        A server may start again under its id. It then holds and knows nothing
        of before: its start is part of what it is (cw_server_life). leaving,
        cold_ms, started_ms and revision may be left out; a source that tells
        no starts gives each life an id of its own.

        One table says what an entry must hold, whoever spells it: see
        cw_server_names_t and cw_server_parse. An entry that is wrong names no
        server.

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
    char id[CW_NAME_MAX];
    char address[CW_SERVER_ADDRESS_MAX]; /* IP:PORT */
    char pool[CW_NAME_MAX];
    char hall[CW_NAME_MAX];
    uint32_t slots;
    bool leaving;
    uint32_t cold_ms;   /* it stays slow for so long */
    int64_t started_ms; /* its start by its own clock, Unix ms; 0: not told */
    int64_t revision;   /* of the source, not before this entry last changed; 0: not known. No part of what it says */
} cw_server_t;

/* How a source spells an entry. A NULL name: it has no such field. */
typedef struct cw_server_names_t {
    const char* address;
    const char* pool;
    const char* hall;
    const char* slots;
    const char* cold_ms;
    const char* started_ms;
    const char* leaving; /* true or false; or, with the words that it knows: */
    const char* state;
    const char* state_ready;
    const char* state_leaving;
    const char* other_text;  /* told and not used; an entry without it is no server's */
    const char* other_count; /* the same, a whole number */
    bool strict;             /* cold_ms and leaving may not be left out */
} cw_server_names_t;

/* What is wrong with an entry. */
typedef struct cw_server_fault_t {
    const char* field;
    const char* reason;
} cw_server_fault_t;

/* Entries of a reading that name no server; a copy of the list starts without. */
typedef struct cw_refused_t {
    uint32_t count;
    char key[CW_NAME_MAX]; /* of the last one, cut */
    cw_server_fault_t fault;
} cw_refused_t;

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
    cw_refused_t refused;
    uint32_t count, capacity;
    cw_server_t* items;
} cw_servers_t;

/* Reads the JSON form; an entry that is wrong refuses the list. The list must be empty. */
cw_status_t cw_servers_read(cw_servers_t* list, const char* text, size_t size, cw_error_t* err);
/* The JSON form, to be freed by free(). */
char* cw_servers_text(const cw_servers_t* list);
struct json_t;
/* Reads an entry. False: it names no server, and fault says why. */
bool cw_server_parse(cw_server_t* server, const char* id, const struct json_t* entry, const cw_server_names_t* names,
                     cw_server_fault_t* fault);
/* Counts an entry that names no server. */
void cw_servers_refuse(cw_servers_t* list, const char* key, cw_server_fault_t fault);
/* Refuses the entries without a start where others have one: servers of one source all tell it, or none does. */
void cw_servers_drop_unstarted(cw_servers_t* list);
/* Id of this life of the server: of its id and its start. */
uint64_t cw_server_life(const cw_server_t* server);
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

uint64_t cw_server_life(const cw_server_t* server) {
    uint64_t id = cw_name_id(server->id);
    return server->started_ms ? cw_mix(id, (uint64_t)server->started_ms) : id;
}

void cw_servers_refuse(cw_servers_t* list, const char* key, cw_server_fault_t fault) {
    list->refused.count++;
    list->refused.fault = fault;
    cw_copy(list->refused.key, sizeof(list->refused.key), key);
    for (char* c = list->refused.key; *c; c++) {
        *c = (unsigned char)*c <= ' ' || *c == 0x7f || *c == '"' ? '?' : *c; /* it goes into a log line */
    }
}

void cw_servers_drop_unstarted(cw_servers_t* list) {
    uint32_t kept = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        kept += list->items[i].started_ms != 0;
    }
    if (!kept || kept == list->count) {
        return;
    }
    kept = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->items[i].started_ms) {
            list->items[kept++] = list->items[i];
        } else {
            cw_servers_refuse(list, list->items[i].id, (cw_server_fault_t){"start", "missing, where others have one"});
        }
    }
    list->count = kept;
}

uint64_t cw_servers_id(const cw_servers_t* list) {
    uint64_t id = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        const cw_server_t* s = &list->items[i];
        uint64_t state = (uint64_t)s->leaving + 1 + 2 * (uint64_t)(s->cold_ms > 0);
        id += cw_mix(cw_server_life(s), cw_mix(cw_name_id(s->address), state));
    }
    for (uint32_t i = 0; i < list->closed.count; i++) {
        id += cw_mix(cw_name_id(list->closed.halls[i]), list->closed.count);
    }
    return id ? id : 1;
}

bool cw_server_equal(const cw_server_t* a, const cw_server_t* b) {
    return strcmp(a->id, b->id) == 0 && strcmp(a->address, b->address) == 0 && strcmp(a->pool, b->pool) == 0 &&
           strcmp(a->hall, b->hall) == 0 && a->slots == b->slots && a->leaving == b->leaving &&
           a->cold_ms == b->cold_ms && a->started_ms == b->started_ms;
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

/* -- what an entry must hold ---------------------------------------------- */

#define _CW_SLOTS_MAX 1000000 /* no server works on more at once */

typedef enum _cw_field_kind_t {
    _CW_FIELD_NAME = 0, /* visible characters that stand in log lines and header fields as they are */
    _CW_FIELD_ADDRESS,
    _CW_FIELD_COUNT, /* a whole number */
    _CW_FIELD_TIME,  /* a whole number, Unix ms */
    _CW_FIELD_SPAN,  /* a number of ms, fractions allowed */
    _CW_FIELD_FLAG,
    _CW_FIELD_STATE
} _cw_field_kind_t;

/* One field of an entry: what it must be, and where it goes; out NULL: it is checked only. */
typedef struct _cw_field_t {
    const char* name; /* NULL: the source has none */
    _cw_field_kind_t kind;
    bool required;
    int64_t min, max;
    void* out;
    size_t size; /* of a text, its end included */
} _cw_field_t;

static const char* _cw_field_name(const _cw_field_t* f, const char* text) {
    size_t length = strlen(text);
    if (!length || length >= f->size) {
        return "empty or too long";
    }
    for (const char* c = text; *c; c++) {
        if ((unsigned char)*c <= ' ' || *c == 0x7f || *c == '"' || *c == '\\') {
            return "holds a blank, a quote or a control character";
        }
    }
    if (f->out) {
        cw_copy(f->out, f->size, text);
    }
    return NULL;
}

static const char* _cw_field_address(const _cw_field_t* f, const char* text) {
    char ip[CW_SERVER_ADDRESS_MAX];
    struct in_addr parsed;
    const char* colon = strrchr(text, ':');
    size_t digits = colon ? strspn(colon + 1, "0123456789") : 0;
    if (!colon || strlen(text) >= f->size || !digits || digits > 5 || colon[1 + digits]) {
        return "no IP:PORT";
    }
    cw_copy(ip, sizeof(ip), text);
    ip[colon - text] = 0;
    long port = strtol(colon + 1, NULL, 10);
    if (port < 1 || port > UINT16_MAX || inet_pton(AF_INET, ip, &parsed) != 1) {
        return "no IP:PORT";
    }
    cw_copy(f->out, f->size, text);
    return NULL;
}

static const char* _cw_field_whole(const _cw_field_t* f, const json_t* value) {
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value)) {
        return "no whole number";
    }
    if (number < f->min || number > f->max) {
        return "out of range";
    }
    if (f->out && f->kind == _CW_FIELD_TIME) {
        *(int64_t*)f->out = number;
    } else if (f->out) {
        *(uint32_t*)f->out = (uint32_t)number;
    }
    return NULL;
}

static const char* _cw_field_span(const _cw_field_t* f, const json_t* value) {
    double ms = json_number_value(value);
    if (!json_is_number(value) || !(ms >= (double)f->min && ms <= (double)f->max)) {
        return "no span of time";
    }
    *(uint32_t*)f->out = (uint32_t)ms;
    return NULL;
}

static const char* _cw_field_state(const _cw_field_t* f, const char* word, const cw_server_names_t* names) {
    bool leaving = strcmp(word, names->state_leaving) == 0;
    if (!leaving && strcmp(word, names->state_ready) != 0) {
        return "no state that is known";
    }
    *(bool*)f->out = leaving;
    return NULL;
}

/* What is wrong with the field, NULL: nothing. */
static const char* _cw_field_read(const _cw_field_t* f, const json_t* entry, const cw_server_names_t* names) {
    const json_t* value = f->name ? json_object_get(entry, f->name) : NULL;
    if (!value) {
        return f->name && f->required ? "missing" : NULL;
    }
    switch (f->kind) {
        case _CW_FIELD_NAME:
            return json_is_string(value) ? _cw_field_name(f, json_string_value(value)) : "no text";
        case _CW_FIELD_ADDRESS:
            return json_is_string(value) ? _cw_field_address(f, json_string_value(value)) : "no text";
        case _CW_FIELD_STATE:
            return json_is_string(value) ? _cw_field_state(f, json_string_value(value), names) : "no text";
        case _CW_FIELD_COUNT:
        case _CW_FIELD_TIME:
            return _cw_field_whole(f, value);
        case _CW_FIELD_SPAN:
            return _cw_field_span(f, value);
        case _CW_FIELD_FLAG:
            if (json_is_boolean(value)) {
                *(bool*)f->out = json_is_true(value);
            }
            return json_is_boolean(value) ? NULL : "neither true nor false";
    }
    return NULL;
}

bool cw_server_parse(cw_server_t* server, const char* id, const json_t* entry, const cw_server_names_t* names,
                     cw_server_fault_t* fault) {
    const _cw_field_t fields[] = {
        {names->pool, _CW_FIELD_NAME, true, 0, 0, server->pool, sizeof(server->pool)},
        {names->address, _CW_FIELD_ADDRESS, true, 0, 0, server->address, sizeof(server->address)},
        {names->hall, _CW_FIELD_NAME, true, 0, 0, server->hall, sizeof(server->hall)},
        {names->slots, _CW_FIELD_COUNT, true, 1, _CW_SLOTS_MAX, &server->slots, 0},
        {names->leaving, _CW_FIELD_FLAG, names->strict, 0, 0, &server->leaving, 0},
        {names->state, _CW_FIELD_STATE, names->strict, 0, 0, &server->leaving, 0},
        {names->cold_ms, _CW_FIELD_SPAN, names->strict, 0, UINT32_MAX, &server->cold_ms, 0},
        {names->started_ms, _CW_FIELD_TIME, false, 1, INT64_MAX, &server->started_ms, 0},
        {names->other_text, _CW_FIELD_NAME, true, 0, 0, NULL, SIZE_MAX},
        {names->other_count, _CW_FIELD_COUNT, true, 0, INT64_MAX, NULL, 0},
    };
    const _cw_field_t id_field = {"id", _CW_FIELD_NAME, true, 0, 0, server->id, sizeof(server->id)};
    *server = (cw_server_t){0};
    *fault = (cw_server_fault_t){"id", id ? _cw_field_name(&id_field, id) : "missing"};
    if (!fault->reason && !json_is_object(entry)) {
        *fault = (cw_server_fault_t){"entry", "cannot be read as an object"};
    }
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]) && !fault->reason; i++) {
        *fault = (cw_server_fault_t){fields[i].name, _cw_field_read(&fields[i], entry, names)};
    }
    return !fault->reason;
}

/* -- the JSON form -------------------------------------------------------- */

static const cw_server_names_t _cw_servers_names = {.address = "address",
                                                    .pool = "pool",
                                                    .hall = "hall",
                                                    .slots = "slots",
                                                    .cold_ms = "cold_ms",
                                                    .started_ms = "started_ms",
                                                    .leaving = "leaving"};

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
        cw_server_fault_t fault;
        const json_t* entry = json_array_get(items, i);
        const char* id = json_string_value(json_object_get(entry, "id"));
        if (cw_server_parse(&server, id, entry, &_cw_servers_names, &fault)) {
            server.revision = json_integer_value(json_object_get(entry, "revision"));
            cw_servers_add(list, &server);
        } else {
            status = cw_fail(err, CW_ERR_INVALID, "servers", NULL, "entry %zu, %s: %s", i, fault.field, fault.reason);
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
        json_t* entry =
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:b,s:I}", "id", s->id, "address", s->address, "pool", s->pool, "hall",
                      s->hall, "slots", (int)s->slots, "leaving", (int)s->leaving, "cold_ms", (json_int_t)s->cold_ms);
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

char* cw_servers_text(const cw_servers_t* list) {
    json_t* document = json_pack("{s:I,s:i}", "at", (json_int_t)list->at, "age_ms", (int)list->age_ms);
    cw_servers_json(list, document);
    char* text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

#endif /* CHALKWAY_SERVERS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
