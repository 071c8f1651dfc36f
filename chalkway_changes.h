#ifndef CHALKWAY_CHANGES_H
#define CHALKWAY_CHANGES_H
/*
    chalkway_changes.h -- what changed between lists of servers

    WHAT IT IS
        Every daemon of a fleet fetches each new list of servers from a peer.
        A whole list of thousands for each of hundreds of daemons, because
        one server leaves, would fill their links. So each entry carries the
        source's revision at which it last changed, and a daemon remembers
        which entries went and when. To a peer that says up to which revision
        its list is complete it gives what changed after that. Neither must
        have had a list of the other: daemons that took different steps, by
        different readers of the source, still tell each other little.

        The id of the list that the changes lead to goes along. Where the
        result is another list, the peer reads the whole one.

    HOW TO USE IT
        The holder:
            cw_changes_note(&changes, &before, &after);        // both sorted
            cw_delta_t delta = {0};
            if (cw_changes_since(&changes, &list, have, &delta)) { text = cw_delta_text(&delta); }
        The other one:
            if (cw_delta_read(&delta, text, size, &err) == CW_OK && cw_delta_apply(&list, &delta)) { ... }
        Both free the delta by cw_delta_free.

    WHAT IT DOES NOT DO
        No sockets. A peer whose list is too old, or of a source without
        revisions, gets nothing here: it reads the whole list.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_servers.h"

/* What leads from a list that is complete up to a revision to a later one. */
typedef struct cw_delta_t {
    int64_t since;     /* the revision */
    uint64_t to;       /* id of the later list */
    int64_t at;        /* of the later list, see cw_servers_t */
    uint32_t age_ms;   /* of the later list */
    cw_servers_t put;  /* servers that are new or of which something changed; sorted. All halls that are closed */
    cw_servers_t gone; /* of these only the id counts */
} cw_delta_t;

/* An entry that went. */
typedef struct cw_gone_t {
    int64_t revision; /* not before it went */
    char id[CW_NAME_MAX];
} cw_gone_t;

/* All zero: nothing is remembered. */
typedef struct cw_changes_t {
    int64_t since; /* all that went after this revision is remembered; 0: nothing is */
    uint32_t count, capacity;
    cw_gone_t* gone; /* in order of their revisions */
} cw_changes_t;

/* Remembers what went, and completes the revisions of the entries of after. Both lists are sorted; before is empty for
   the first one. */
void cw_changes_note(cw_changes_t* changes, const cw_servers_t* before, cw_servers_t* after);
/* All of the list that changed after the revision; false when that is not known, or no shorter than the list. The delta
   must be zero. */
bool cw_changes_since(const cw_changes_t* changes, const cw_servers_t* list, int64_t have, cw_delta_t* delta);
/* Remembers that an entry went, at a revision no lower than the last one's. */
void cw_changes_add_gone(cw_changes_t* changes, const char* id, int64_t revision);
void cw_changes_free(cw_changes_t* changes);

/* The JSON form, to be freed by free(). */
char* cw_delta_text(const cw_delta_t* delta);
/* Whether the text is the JSON form of a delta, not of a whole list. */
bool cw_delta_is(const char* text, size_t size);
/* Reads the JSON form; the delta must be zero. */
cw_status_t cw_delta_read(cw_delta_t* delta, const char* text, size_t size, cw_error_t* err);
/* Changes the sorted list; false when it is not complete up to where the delta begins, or does not become the list that
   the delta leads to: it is of no use then. */
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

#define _CW_DELTA_SHARE 4   /* a change of more than this part of the list is no shorter than the list */
#define _CW_CHANGES_MIN 256 /* entries that went are remembered, also by a short list */

void cw_delta_free(cw_delta_t* delta) {
    cw_servers_free(&delta->put);
    cw_servers_free(&delta->gone);
    *delta = (cw_delta_t){0};
}

void cw_changes_free(cw_changes_t* changes) {
    free(changes->gone);
    *changes = (cw_changes_t){0};
}

/* Forgets the older half. */
static void _cw_changes_forget(cw_changes_t* changes) {
    uint32_t dropped = changes->count / 2;
    changes->since = changes->gone[dropped - 1].revision;
    changes->count -= dropped;
    memmove(changes->gone, &changes->gone[dropped], changes->count * sizeof(*changes->gone));
}

void cw_changes_add_gone(cw_changes_t* changes, const char* id, int64_t revision) {
    if (changes->count == changes->capacity) {
        changes->capacity = changes->capacity ? changes->capacity * 2 : 32;
        cw_gone_t* grown = realloc(changes->gone, changes->capacity * sizeof(*grown));
        if (!grown) {
            abort();
        }
        changes->gone = grown;
    }
    cw_gone_t* gone = &changes->gone[changes->count++];
    gone->revision = revision;
    cw_copy(gone->id, sizeof(gone->id), id);
}

/* The revision of an entry that is not as it was: after all that the list before was complete up to. */
static void _cw_changes_stamp(cw_server_t* now, const cw_servers_t* before, const cw_servers_t* after) {
    now->revision = now->revision ? now->revision : after->at;
    now->revision = now->revision > before->at ? now->revision : before->at + 1;
}

/* Walks both sorted lists side by side. */
static void _cw_changes_walk(cw_changes_t* changes, const cw_servers_t* before, cw_servers_t* after) {
    uint32_t most = after->count / _CW_DELTA_SHARE;
    most = most > _CW_CHANGES_MIN ? most : _CW_CHANGES_MIN;
    uint32_t i = 0;
    uint32_t j = 0;
    while (i < before->count || j < after->count) {
        const cw_server_t* old = i < before->count ? &before->items[i] : NULL;
        cw_server_t* now = j < after->count ? &after->items[j] : NULL;
        int order = !old ? 1 : !now ? -1 : strcmp(old->id, now->id);
        if (order < 0) {
            if (changes->count >= most) {
                _cw_changes_forget(changes);
            }
            cw_changes_add_gone(changes, old->id, after->at);
        } else if (order == 0 && cw_server_equal(old, now)) {
            now->revision = old->revision;
        } else {
            _cw_changes_stamp(now, before, after);
        }
        i += order <= 0;
        j += order >= 0;
    }
}

void cw_changes_note(cw_changes_t* changes, const cw_servers_t* before, cw_servers_t* after) {
    bool follows = changes->since && before->at && after->at >= before->at;
    if (follows) {
        _cw_changes_walk(changes, before, after);
    } else {
        changes->count = 0; /* the first list, or its revisions say nothing of those before */
        changes->since = after->at;
    }
}

bool cw_changes_since(const cw_changes_t* changes, const cw_servers_t* list, int64_t have, cw_delta_t* delta) {
    if (!changes->since || have < changes->since || have > list->at) {
        return false;
    }
    *delta = (cw_delta_t){.since = have, .at = list->at, .put = {.closed = list->closed}};
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->items[i].revision > have) {
            cw_servers_add(&delta->put, &list->items[i]);
        }
    }
    for (uint32_t i = changes->count; i-- > 0 && changes->gone[i].revision > have;) {
        cw_server_t server = {.slots = 0};
        cw_copy(server.id, sizeof(server.id), changes->gone[i].id);
        cw_servers_add(&delta->gone, &server);
    }
    if (delta->put.count + delta->gone.count > list->count / _CW_DELTA_SHARE) {
        cw_delta_free(delta);
        return false;
    }
    delta->to = cw_servers_id(list);
    return true;
}

bool cw_delta_apply(cw_servers_t* list, const cw_delta_t* delta) {
    if (list->at < delta->since) {
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

char* cw_delta_text(const cw_delta_t* delta) {
    json_t* document = json_object();
    json_t* gone = json_array();
    char to[20];
    snprintf(to, sizeof(to), "%016llx", (unsigned long long)delta->to);
    for (uint32_t i = 0; i < delta->gone.count; i++) {
        json_array_append_new(gone, json_string(delta->gone.items[i].id));
    }
    json_object_set_new(document, "since", json_integer(delta->since));
    json_object_set_new(document, "to", json_string(to));
    json_object_set_new(document, "at", json_integer(delta->at));
    json_object_set_new(document, "age_ms", json_integer(delta->age_ms));
    json_object_set_new(document, "gone", gone);
    cw_servers_json(&delta->put, document);
    char* text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

bool cw_delta_is(const char* text, size_t size) {
    static const char start[] = "{\"since\":";
    return size >= sizeof(start) - 1 && memcmp(text, start, sizeof(start) - 1) == 0;
}

cw_status_t cw_delta_read(cw_delta_t* delta, const char* text, size_t size, cw_error_t* err) {
    json_t* document = json_loadb(text, size, 0, NULL);
    const json_t* gone = json_object_get(document, "gone");
    const char* to = json_string_value(json_object_get(document, "to"));
    delta->since = json_integer_value(json_object_get(document, "since"));
    delta->to = to ? strtoull(to, NULL, 16) : 0;
    cw_status_t status = cw_servers_read(&delta->put, text, size, err);
    delta->at = delta->put.at;
    delta->age_ms = delta->put.age_ms;
    if (status == CW_OK && (delta->since <= 0 || delta->at < delta->since || !delta->to || !json_is_array(gone))) {
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
