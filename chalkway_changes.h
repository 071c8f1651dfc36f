#ifndef CHALKWAY_CHANGES_H
#define CHALKWAY_CHANGES_H
/*
    chalkway_changes.h -- what changed between lists of servers

    WHAT IT IS
        Every daemon of a fleet fetches each new list of servers from a peer.
        A whole list of thousands for each of hundreds of daemons, because
        one server leaves, would fill their links. A daemon therefore
        remembers the changes between the last lists that it had, and gives a
        peer that says which list it has only what changed since.

    HOW TO USE IT
        The holder:
            cw_changes_note(&changes, &before, &after);        // both sorted
            cw_delta_t delta = {0};
            if (cw_changes_since(&changes, have, &delta)) { text = cw_delta_text(&delta); }
        The other one:
            if (cw_delta_read(&delta, text, size, &err) == CW_OK && cw_delta_apply(&list, &delta)) { ... }
        Both free the delta by cw_delta_free.

    WHAT IT DOES NOT DO
        No sockets. A peer whose list is too old, or is none that this daemon
        had, gets nothing here: it reads the whole list.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_servers.h"

#define CW_CHANGES_KEPT 16 /* changes that are remembered */

/* What leads from one list to another. */
typedef struct cw_delta_t {
    uint64_t from, to; /* ids of the lists */
    int64_t at;        /* of the later list, see cw_servers_t */
    uint32_t age_ms;
    cw_servers_t put;  /* new servers, and those of which something changed; sorted. All halls that are closed */
    cw_servers_t gone; /* of these only the id counts; sorted */
} cw_delta_t;

/* All zero: nothing is remembered. */
typedef struct cw_changes_t {
    cw_delta_t kept[CW_CHANGES_KEPT];
    uint32_t count;
} cw_changes_t;

/* Remembers what changed; both lists are sorted. */
void cw_changes_note(cw_changes_t* changes, const cw_servers_t* before, const cw_servers_t* after);
/* All that changed since the list with this id; false when that is not known. The delta must be zero. */
bool cw_changes_since(const cw_changes_t* changes, uint64_t have, cw_delta_t* delta);
void cw_changes_free(cw_changes_t* changes);

/* The JSON form, to be freed by free(). */
char* cw_delta_text(const cw_delta_t* delta);
/* Whether the text is the JSON form of a delta, not of a whole list. */
bool cw_delta_is(const char* text, size_t size);
/* Reads the JSON form; the delta must be zero. */
cw_status_t cw_delta_read(cw_delta_t* delta, const char* text, size_t size, cw_error_t* err);
/* Changes the sorted list; false when it is not the one that the delta begins with, or does not become the one that it
   ends with: it is of no use then. */
bool cw_delta_apply(cw_servers_t* list, const cw_delta_t* delta);
void cw_delta_free(cw_delta_t* delta);

#endif /* CHALKWAY_CHANGES_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_CHANGES_IMPL_INCLUDED
#define CHALKWAY_CHANGES_IMPL_INCLUDED

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define _CW_DELTA_SHARE 4 /* a change of more than this part of the list is no shorter than the list */

void cw_delta_free(cw_delta_t* delta) {
    cw_servers_free(&delta->put);
    cw_servers_free(&delta->gone);
    *delta = (cw_delta_t){0};
}

void cw_changes_free(cw_changes_t* changes) {
    for (uint32_t i = 0; i < changes->count; i++) {
        cw_delta_free(&changes->kept[i]);
    }
    changes->count = 0;
}

/* Walks both sorted lists side by side. */
static cw_delta_t _cw_changes_between(const cw_servers_t* before, const cw_servers_t* after) {
    cw_delta_t delta = {.from = cw_servers_id(before), .to = cw_servers_id(after), .put = {.closed = after->closed}};
    uint32_t i = 0;
    uint32_t j = 0;
    while (i < before->count && j < after->count) {
        const cw_server_t* old = &before->items[i];
        const cw_server_t* now = &after->items[j];
        int order = strcmp(old->id, now->id);
        if (order < 0) {
            cw_servers_add(&delta.gone, old);
        } else if (order > 0 || !cw_server_equal(old, now)) {
            cw_servers_add(&delta.put, now);
        }
        i += order <= 0;
        j += order >= 0;
    }
    for (; i < before->count; i++) {
        cw_servers_add(&delta.gone, &before->items[i]);
    }
    for (; j < after->count; j++) {
        cw_servers_add(&delta.put, &after->items[j]);
    }
    return delta;
}

void cw_changes_note(cw_changes_t* changes, const cw_servers_t* before, const cw_servers_t* after) {
    cw_delta_t delta = _cw_changes_between(before, after);
    if (delta.put.count + delta.gone.count > after->count / _CW_DELTA_SHARE) {
        cw_delta_free(&delta);
        cw_changes_free(changes); /* nothing older leads to the new list */
        return;
    }
    if (changes->count == CW_CHANGES_KEPT) {
        cw_delta_free(&changes->kept[0]);
        memmove(&changes->kept[0], &changes->kept[1], (CW_CHANGES_KEPT - 1) * sizeof(changes->kept[0]));
        changes->count--;
    }
    changes->kept[changes->count++] = delta;
}

/* What a later change leaves of an earlier one. */
static void _cw_delta_add(cw_delta_t* delta, const cw_delta_t* later) {
    for (uint32_t i = 0; i < later->put.count; i++) {
        cw_servers_remove(&delta->gone, later->put.items[i].id);
        cw_servers_put(&delta->put, &later->put.items[i]);
    }
    for (uint32_t i = 0; i < later->gone.count; i++) {
        cw_servers_remove(&delta->put, later->gone.items[i].id);
        cw_servers_put(&delta->gone, &later->gone.items[i]);
    }
    delta->put.closed = later->put.closed;
    delta->to = later->to;
}

bool cw_changes_since(const cw_changes_t* changes, uint64_t have, cw_delta_t* delta) {
    uint32_t first = 0;
    while (first < changes->count && changes->kept[first].from != have) {
        first++;
    }
    delta->from = have;
    for (uint32_t i = first; i < changes->count; i++) {
        _cw_delta_add(delta, &changes->kept[i]);
    }
    return first < changes->count;
}

bool cw_delta_apply(cw_servers_t* list, const cw_delta_t* delta) {
    if (cw_servers_id(list) != delta->from) {
        return false;
    }
    for (uint32_t i = 0; i < delta->gone.count; i++) {
        cw_servers_remove(list, delta->gone.items[i].id);
    }
    for (uint32_t i = 0; i < delta->put.count; i++) {
        cw_servers_put(list, &delta->put.items[i]);
    }
    list->closed = delta->put.closed;
    list->at = delta->at;
    list->age_ms = delta->age_ms;
    return cw_servers_id(list) == delta->to;
}

/* -- JSON ----------------------------------------------------------------- */

static json_t* _cw_delta_id(uint64_t id) {
    char text[20];
    snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    return json_string(text);
}

char* cw_delta_text(const cw_delta_t* delta) {
    json_t* document = json_object();
    json_t* gone = json_array();
    for (uint32_t i = 0; i < delta->gone.count; i++) {
        json_array_append_new(gone, json_string(delta->gone.items[i].id));
    }
    json_object_set_new(document, "from", _cw_delta_id(delta->from));
    json_object_set_new(document, "to", _cw_delta_id(delta->to));
    json_object_set_new(document, "at", json_integer(delta->at));
    json_object_set_new(document, "age_ms", json_integer(delta->age_ms));
    json_object_set_new(document, "gone", gone);
    cw_servers_json(&delta->put, document);
    char* text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

bool cw_delta_is(const char* text, size_t size) {
    static const char start[] = "{\"from\":";
    return size >= sizeof(start) - 1 && memcmp(text, start, sizeof(start) - 1) == 0;
}

static uint64_t _cw_delta_number(const json_t* document, const char* field) {
    const char* text = json_string_value(json_object_get(document, field));
    return text ? strtoull(text, NULL, 16) : 0;
}

cw_status_t cw_delta_read(cw_delta_t* delta, const char* text, size_t size, cw_error_t* err) {
    json_t* document = json_loadb(text, size, 0, NULL);
    const json_t* gone = json_object_get(document, "gone");
    delta->from = _cw_delta_number(document, "from");
    delta->to = _cw_delta_number(document, "to");
    cw_status_t status = cw_servers_read(&delta->put, text, size, err);
    delta->at = delta->put.at;
    delta->age_ms = delta->put.age_ms;
    if (status == CW_OK && (!delta->from || !delta->to || !json_is_array(gone))) {
        status = cw_fail(err, CW_ERR_INVALID, "servers", NULL, "changes without the lists that they lead from and to");
    }
    for (size_t i = 0; status == CW_OK && i < json_array_size(gone); i++) {
        const char* id = json_string_value(json_array_get(gone, i));
        cw_server_t server = {.slots = 0};
        cw_copy(server.id, sizeof(server.id), id ? id : "");
        cw_servers_add(&delta->gone, &server);
    }
    json_decref(document);
    if (status != CW_OK) {
        cw_delta_free(delta);
    }
    return status;
}

#endif /* CHALKWAY_CHANGES_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
