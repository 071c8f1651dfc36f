#ifndef CHALKWAY_POOL_VERSIONS_H
#define CHALKWAY_POOL_VERSIONS_H
/*
    chalkway_pool_versions.h -- software versions that serve in a pool

    WHAT IT IS
        Records which versions of their software the servers of a pool have
        had lately. A stream may be resumed only at the version that began
        it. A host that doesn't know the stream may resume it all the same
        while a single version has served for as long as a stream can last.

        That conclusion is safe although hosts read the list of servers at
        different times: no stream begins at a new version until its servers
        have been listed for CW_POOL_VERSIONS_SETTLE_MS, and nobody draws the
        conclusion from a list older than CW_POOL_VERSIONS_FRESH_MS, which is
        shorter. A host that does has seen every version at which a stream
        may have begun.

    HOW TO USE IT
            cw_pool_versions_t v = {0};
            cw_pool_versions_update(&v, now_ms, versions_of_listed_servers, count);
            uint64_t only = cw_pool_versions_only(&v, now_ms, memory_ms); // 0: several
            int64_t from_ms = cw_pool_versions_settled_ms(&v, version);

    WHAT IT DOES NOT DO
        It doesn't know single streams (chalkway_stream_registry.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_POOL_VERSIONS_MAX 8
#define CW_POOL_VERSIONS_FRESH_MS 1500
/* The difference to FRESH_MS bounds what a message about the age of a list may be late. */
#define CW_POOL_VERSIONS_SETTLE_MS 2500

typedef struct cw_pool_version_t {
    uint64_t id;
    uint32_t servers;    /* listed ones */
    int64_t first_ms;    /* when it was first listed */
    int64_t unlisted_ms; /* when its last server left the list, if servers is 0 */
    int64_t departed_ms; /* when one of its servers last left, or was known to have left, the list; 0: none has */
} cw_pool_version_t;

typedef struct cw_pool_versions_t {
    uint32_t count;
    cw_pool_version_t items[CW_POOL_VERSIONS_MAX];
    bool is_set;           /* a list has been applied */
    int64_t overflowed_ms; /* when a version last found no room; 0: never */
} cw_pool_versions_t;

/* Applies a list: the version of each listed server, those that are leaving included. */
void cw_pool_versions_update(cw_pool_versions_t* v, int64_t now_ms, const uint64_t* versions, uint32_t count);
/* Adds what another host knows: a server of this version was listed until ago_ms before. */
void cw_pool_versions_learn(cw_pool_versions_t* v, int64_t now_ms, uint64_t version, uint32_t ago_ms);
/* A server of this version has left the list, or has started again. */
void cw_pool_versions_on_departure(cw_pool_versions_t* v, int64_t now_ms, uint64_t version);
/* Number of versions of which a server has left the list within the last memory_ms: 0, 1 or 2 (several). version: set
   if it is 1. */
uint32_t cw_pool_versions_departed(const cw_pool_versions_t* v, int64_t now_ms, uint32_t memory_ms, uint64_t* version);
/* The only version that has been listed within the last memory_ms; 0: several or none. */
uint64_t cw_pool_versions_only(const cw_pool_versions_t* v, int64_t now_ms, uint32_t memory_ms);
/* Number of versions that have been listed within the last memory_ms. */
uint32_t cw_pool_versions_recent(const cw_pool_versions_t* v, int64_t now_ms, uint32_t memory_ms);
/* Time from which streams may begin at servers of this version. */
int64_t cw_pool_versions_settled_ms(const cw_pool_versions_t* v, uint64_t version);

#endif /* CHALKWAY_POOL_VERSIONS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_POOL_VERSIONS_IMPL_INCLUDED
#define CHALKWAY_POOL_VERSIONS_IMPL_INCLUDED

static cw_pool_version_t* _cw_pool_versions_find(cw_pool_versions_t* v, uint64_t id) {
    for (uint32_t i = 0; i < v->count; i++) {
        if (v->items[i].id == id) {
            return &v->items[i];
        }
    }
    return NULL;
}

/* Room for a further version: an unused item, or that of the version that left the list first. NULL: all are listed. */
static cw_pool_version_t* _cw_pool_versions_make_room(cw_pool_versions_t* v) {
    cw_pool_version_t* oldest = NULL;
    if (v->count < CW_POOL_VERSIONS_MAX) {
        return &v->items[v->count++];
    }
    for (uint32_t i = 0; i < v->count; i++) {
        cw_pool_version_t* item = &v->items[i];
        if (!item->servers && (!oldest || item->unlisted_ms < oldest->unlisted_ms)) {
            oldest = item;
        }
    }
    return oldest;
}

static void _cw_pool_versions_count(cw_pool_versions_t* v, int64_t now_ms, uint64_t id) {
    cw_pool_version_t* item = _cw_pool_versions_find(v, id);
    if (!item) {
        item = _cw_pool_versions_make_room(v);
        if (!item) {
            v->overflowed_ms = now_ms;
            return;
        }
        *item = (cw_pool_version_t){.id = id, .first_ms = now_ms};
    }
    item->servers++;
}

/* The first list doesn't show which version is new: that of the fewer servers is taken to be. */
static void _cw_pool_versions_settle_main(cw_pool_versions_t* v) {
    cw_pool_version_t* main = &v->items[0];
    for (uint32_t i = 1; i < v->count; i++) {
        main = v->items[i].servers > main->servers ? &v->items[i] : main;
    }
    main->first_ms -= CW_POOL_VERSIONS_SETTLE_MS;
}

void cw_pool_versions_update(cw_pool_versions_t* v, int64_t now_ms, const uint64_t* versions, uint32_t count) {
    bool was_listed[CW_POOL_VERSIONS_MAX] = {false};
    for (uint32_t i = 0; i < v->count; i++) {
        was_listed[i] = v->items[i].servers > 0;
        v->items[i].servers = 0;
        v->items[i].unlisted_ms = was_listed[i] ? now_ms : v->items[i].unlisted_ms;
    }
    for (uint32_t i = 0; i < count; i++) {
        _cw_pool_versions_count(v, now_ms, versions[i]);
    }
    if (!v->is_set && v->count) {
        v->is_set = true;
        _cw_pool_versions_settle_main(v);
    }
}

void cw_pool_versions_learn(cw_pool_versions_t* v, int64_t now_ms, uint64_t version, uint32_t ago_ms) {
    cw_pool_version_t* item = _cw_pool_versions_find(v, version);
    int64_t unlisted_ms = now_ms - ago_ms;
    if (!item) {
        item = _cw_pool_versions_make_room(v);
        if (!item) {
            v->overflowed_ms = now_ms;
            return;
        }
        *item = (cw_pool_version_t){.id = version, .first_ms = now_ms, .unlisted_ms = unlisted_ms};
    }
    item->unlisted_ms = item->unlisted_ms < unlisted_ms ? unlisted_ms : item->unlisted_ms;
}

void cw_pool_versions_on_departure(cw_pool_versions_t* v, int64_t now_ms, uint64_t version) {
    cw_pool_versions_learn(v, now_ms, version, 0);
    cw_pool_version_t* item = _cw_pool_versions_find(v, version);
    if (item) {
        item->departed_ms = now_ms;
    }
}

uint32_t cw_pool_versions_departed(const cw_pool_versions_t* v, int64_t now_ms, uint32_t memory_ms, uint64_t* version) {
    uint32_t count = v->overflowed_ms && now_ms - v->overflowed_ms < memory_ms ? 2 : 0;
    for (uint32_t i = 0; i < v->count; i++) {
        const cw_pool_version_t* item = &v->items[i];
        bool has_departed = item->departed_ms && now_ms - item->departed_ms < memory_ms;
        if (has_departed || (!item->servers && now_ms - item->unlisted_ms < memory_ms)) {
            *version = item->id;
            count++;
        }
    }
    return count < 2 ? count : 2;
}

static bool _cw_pool_versions_is_recent(const cw_pool_version_t* item, int64_t now_ms, uint32_t memory_ms) {
    return item->servers || now_ms - item->unlisted_ms < memory_ms;
}

uint32_t cw_pool_versions_recent(const cw_pool_versions_t* v, int64_t now_ms, uint32_t memory_ms) {
    uint32_t recent = v->overflowed_ms && now_ms - v->overflowed_ms < memory_ms;
    for (uint32_t i = 0; i < v->count; i++) {
        recent += _cw_pool_versions_is_recent(&v->items[i], now_ms, memory_ms);
    }
    return recent;
}

uint64_t cw_pool_versions_only(const cw_pool_versions_t* v, int64_t now_ms, uint32_t memory_ms) {
    if (cw_pool_versions_recent(v, now_ms, memory_ms) != 1) {
        return 0;
    }
    for (uint32_t i = 0; i < v->count; i++) {
        if (_cw_pool_versions_is_recent(&v->items[i], now_ms, memory_ms)) {
            return v->items[i].id;
        }
    }
    return 0;
}

int64_t cw_pool_versions_settled_ms(const cw_pool_versions_t* v, uint64_t version) {
    uint32_t listed = 0;
    int64_t settled_ms = 0;
    for (uint32_t i = 0; i < v->count; i++) {
        listed += v->items[i].servers > 0;
        settled_ms = v->items[i].id == version ? v->items[i].first_ms + CW_POOL_VERSIONS_SETTLE_MS : settled_ms;
    }
    return listed > 1 ? settled_ms : 0;
}

#endif /* CHALKWAY_POOL_VERSIONS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
