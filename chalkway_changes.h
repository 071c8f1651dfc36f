#ifndef CHALKWAY_CHANGES_H
#define CHALKWAY_CHANGES_H
/*
    chalkway_changes.h -- deltas between lists of servers

    WHAT IT IS
        Every daemon of a fleet fetches each new list of servers from a peer.
        If hundreds of daemons fetched a full list of thousands of servers
        each time one server leaves, their links would be saturated. So each
        entry carries the source revision at which it last changed, and a
        daemon records which entries were removed, at which revision. A peer
        sends the revision of its own list and gets a delta: the changes
        after that revision. The two daemons need no earlier list in common,
        so a delta stays small even if they got their lists from different
        daemons that poll the source, at different revisions.

        A delta carries the hash of the list that results from it. If the
        peer gets another result, it fetches the full list.

    HOW TO USE IT
        The daemon that serves its list:
            cw_changes_record(&changes, &before, &after);        // both sorted
            cw_delta_t delta = {0};
            if (cw_changes_get_delta(&changes, &list, peer_revision, &delta)) { text = cw_delta_to_json(&delta); }
        The peer:
            if (cw_delta_from_json(&delta, text, size, &err) == CW_OK && cw_delta_apply(&list, &delta)) { ... }
        Both free the delta with cw_delta_free.

    WHAT IT DOES NOT DO
        No sockets. There is no delta for a peer whose list is too old, or
        for a source without revisions: the peer fetches the full list.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_servers.h"

/* The changes from one list of a source to a later one. */
typedef struct cw_delta_t {
    int64_t since;        /* revision of the earlier list: every change after it is included */
    uint64_t result_hash; /* hash of the later list, see cw_servers_hash */
    int64_t at;           /* revision of the later list, see cw_servers_t */
    uint32_t age_ms;      /* of the later list */
    cw_servers_t updated; /* servers that were added or changed, sorted; and all halls closed in the later list */
    cw_servers_t removed; /* servers that were removed; only their ids are set */
} cw_delta_t;

/* An entry that was removed. */
typedef struct cw_removed_server_t {
    int64_t revision; /* at or after its removal */
    char id[CW_NAME_MAX];
} cw_removed_server_t;

/* The entries that were removed from a list. All zero: none is recorded. */
typedef struct cw_changes_t {
    int64_t since; /* all removals after this revision are recorded, 0: none */
    uint32_t count, capacity;
    cw_removed_server_t* removed; /* sorted by revision */
} cw_changes_t;

/* Records the servers that after lacks, and sets the revisions of the entries of after. Both lists are sorted; before
   is empty when after is the first list. */
void cw_changes_record(cw_changes_t* changes, const cw_servers_t* before, cw_servers_t* after);
/* Collects the changes of the list after the revision. Returns false when they are not all recorded, or are so many
   that the delta would be no shorter than the list. The delta must be zero. */
bool cw_changes_get_delta(const cw_changes_t* changes, const cw_servers_t* list, int64_t peer_revision,
                          cw_delta_t* delta);
/* Records the removal of an entry, at a revision no lower than that of the last removal. */
void cw_changes_add_removed(cw_changes_t* changes, const char* id, int64_t revision);
void cw_changes_free(cw_changes_t* changes);

/* Returns the JSON form, which the caller frees with free(). */
char* cw_delta_to_json(const cw_delta_t* delta);
/* Whether the text begins as the JSON form of a delta does, and not as that of a full list. */
bool cw_delta_is_json(const char* text, size_t size);
/* Reads the JSON form; the delta must be zero. */
cw_status_t cw_delta_from_json(cw_delta_t* delta, const char* text, size_t size, cw_error_t* err);
/* Applies the delta to the sorted list. Returns false when the list is older than the revision from which the delta
   starts, or when the result is not the list for which the delta was made: the result must not be used then. */
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

#define _CW_DELTA_DIVISOR 4          /* above 1/4 of the list's entries, a delta is no shorter than the full list */
#define _CW_CHANGES_REMOVALS_MIN 256 /* limit of recorded removals for a short list */

void cw_delta_free(cw_delta_t* delta) {
    cw_servers_free(&delta->updated);
    cw_servers_free(&delta->removed);
    *delta = (cw_delta_t){0};
}

void cw_changes_free(cw_changes_t* changes) {
    free(changes->removed);
    *changes = (cw_changes_t){0};
}

/* Drops the older half of the recorded removals. */
static void _cw_changes_drop_oldest(cw_changes_t* changes) {
    uint32_t dropped = changes->count / 2;
    changes->since = changes->removed[dropped - 1].revision;
    changes->count -= dropped;
    memmove(changes->removed, &changes->removed[dropped], changes->count * sizeof(*changes->removed));
}

void cw_changes_add_removed(cw_changes_t* changes, const char* id, int64_t revision) {
    if (changes->count == changes->capacity) {
        changes->capacity = changes->capacity ? changes->capacity * 2 : 32;
        cw_removed_server_t* grown = realloc(changes->removed, changes->capacity * sizeof(*grown));
        if (!grown) {
            abort();
        }
        changes->removed = grown;
    }
    cw_removed_server_t* removed = &changes->removed[changes->count++];
    removed->revision = revision;
    cw_copy(removed->id, sizeof(removed->id), id);
}

/* Sets the revision of an entry that changed, above the revision of the list before. */
static void _cw_changes_set_revision(cw_server_t* current, const cw_servers_t* before, const cw_servers_t* after) {
    current->revision = current->revision ? current->revision : after->at;
    current->revision = current->revision > before->at ? current->revision : before->at + 1;
}

/* Walks both sorted lists in parallel; records removals and sets the revisions of the entries of after. */
static void _cw_changes_compare(cw_changes_t* changes, const cw_servers_t* before, cw_servers_t* after) {
    uint32_t max_removals = after->count / _CW_DELTA_DIVISOR;
    max_removals = max_removals > _CW_CHANGES_REMOVALS_MIN ? max_removals : _CW_CHANGES_REMOVALS_MIN;
    uint32_t i = 0;
    uint32_t j = 0;
    while (i < before->count || j < after->count) {
        const cw_server_t* previous = i < before->count ? &before->items[i] : NULL;
        cw_server_t* current = j < after->count ? &after->items[j] : NULL;
        int order = !previous ? 1 : !current ? -1 : strcmp(previous->id, current->id);
        if (order < 0) {
            if (changes->count >= max_removals) {
                _cw_changes_drop_oldest(changes);
            }
            cw_changes_add_removed(changes, previous->id, after->at);
        } else if (order == 0 && cw_server_equal(previous, current)) {
            current->revision = previous->revision;
        } else {
            _cw_changes_set_revision(current, before, after);
        }
        i += order <= 0;
        j += order >= 0;
    }
}

void cw_changes_record(cw_changes_t* changes, const cw_servers_t* before, cw_servers_t* after) {
    bool is_successor = changes->since && before->at && after->at >= before->at;
    if (is_successor) {
        _cw_changes_compare(changes, before, after);
    } else {
        changes->count = 0; /* the first list, or its revisions can't be compared with those before */
        changes->since = after->at;
    }
}

bool cw_changes_get_delta(const cw_changes_t* changes, const cw_servers_t* list, int64_t peer_revision,
                          cw_delta_t* delta) {
    if (!changes->since || peer_revision < changes->since || peer_revision > list->at) {
        return false;
    }
    *delta = (cw_delta_t){.since = peer_revision, .at = list->at, .updated = {.closed = list->closed}};
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->items[i].revision > peer_revision) {
            cw_servers_add(&delta->updated, &list->items[i]);
        }
    }
    for (uint32_t i = changes->count; i-- > 0 && changes->removed[i].revision > peer_revision;) {
        cw_server_t server = {.slots = 0};
        cw_copy(server.id, sizeof(server.id), changes->removed[i].id);
        cw_servers_add(&delta->removed, &server);
    }
    if (delta->updated.count + delta->removed.count > list->count / _CW_DELTA_DIVISOR) {
        cw_delta_free(delta);
        return false;
    }
    delta->result_hash = cw_servers_hash(list);
    return true;
}

bool cw_delta_apply(cw_servers_t* list, const cw_delta_t* delta) {
    if (list->at < delta->since) {
        return false;
    }
    for (uint32_t i = 0; i < delta->removed.count; i++) {
        cw_servers_remove(list, delta->removed.items[i].id);
    }
    for (uint32_t i = 0; i < delta->updated.count; i++) {
        cw_servers_put(list, &delta->updated.items[i]);
    }
    list->closed = delta->updated.closed;
    list->at = delta->at;
    list->age_ms = delta->age_ms;
    return cw_servers_hash(list) == delta->result_hash;
}

/* -- JSON form ------------------------------------------------------------ */

char* cw_delta_to_json(const cw_delta_t* delta) {
    json_t* document = json_object();
    json_t* removed = json_array();
    char result_hash[20];
    snprintf(result_hash, sizeof(result_hash), "%016llx", (unsigned long long)delta->result_hash);
    for (uint32_t i = 0; i < delta->removed.count; i++) {
        json_array_append_new(removed, json_string(delta->removed.items[i].id));
    }
    json_object_set_new(document, "since", json_integer(delta->since));
    json_object_set_new(document, "to", json_string(result_hash));
    json_object_set_new(document, "at", json_integer(delta->at));
    json_object_set_new(document, "age_ms", json_integer(delta->age_ms));
    json_object_set_new(document, "gone", removed);
    cw_servers_add_to_json(&delta->updated, document);
    char* text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}

bool cw_delta_is_json(const char* text, size_t size) {
    static const char start[] = "{\"since\":";
    return size >= sizeof(start) - 1 && memcmp(text, start, sizeof(start) - 1) == 0;
}

cw_status_t cw_delta_from_json(cw_delta_t* delta, const char* text, size_t size, cw_error_t* err) {
    json_t* document = json_loadb(text, size, 0, NULL);
    const json_t* removed = json_object_get(document, "gone");
    const char* result_hash = json_string_value(json_object_get(document, "to"));
    delta->since = json_integer_value(json_object_get(document, "since"));
    delta->result_hash = result_hash ? strtoull(result_hash, NULL, 16) : 0;
    cw_status_t status = cw_servers_from_json(&delta->updated, text, size, err);
    delta->at = delta->updated.at;
    delta->age_ms = delta->updated.age_ms;
    if (status == CW_OK &&
        (delta->since <= 0 || delta->at < delta->since || !delta->result_hash || !json_is_array(removed))) {
        status = cw_fail(err, CW_ERR_INVALID, "servers", NULL, "delta without gone or a valid since, to or at");
    }
    for (size_t i = 0; status == CW_OK && i < json_array_size(removed); i++) {
        const char* id = json_string_value(json_array_get(removed, i));
        cw_server_t server = {.slots = 0};
        cw_copy(server.id, sizeof(server.id), id ? id : "");
        cw_servers_add(&delta->removed, &server);
    }
    json_decref(document);
    if (status != CW_OK) {
        cw_delta_free(delta);
    }
    return status;
}

#endif /* CHALKWAY_CHANGES_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
