#ifndef CHALKWAY_PART_VERSIONS_H
#define CHALKWAY_PART_VERSIONS_H
/*
    chalkway_part_versions.h -- software versions of the engines that cache a prompt part

    WHAT IT IS
        A table of prompt parts that engines have listed as cached, each with
        the version of the engine's software and the number of tokens. The
        last part of a prompt belongs to one request, so an engine that caches
        it with as many tokens as the prompt has is one that has read this
        prompt. So the table shows which version began a stream after all
        hosts that knew it have ended.

    HOW TO USE IT
            cw_part_versions_t* t = cw_part_versions_setup(8192, NULL);
            cw_part_version_t listed = {.pool = pool, .part = part, .version = v, .tokens = 900};
            cw_part_versions_add(t, now_ms, &listed);
            uint64_t version = 0;
            cw_part_query_t query = {.pool = pool, .part = part, .since_ms = since_ms, .min_tokens = 850};
            uint32_t count = cw_part_versions_find(t, &query, &version);

    WHAT IT DOES NOT DO
        It doesn't query engines, and doesn't remove what they evict: entries
        that are older than since_ms are not found.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_part_version_t {
    uint64_t pool;    /* id of the pool's name */
    uint64_t part;    /* id of the part */
    uint64_t version; /* cw_server_version_id of the engine, not 0 */
    uint32_t tokens;  /* cached tokens of this part */
} cw_part_version_t;

typedef struct cw_part_query_t {
    uint64_t pool, part;
    int64_t since_ms;    /* listed since then */
    uint32_t min_tokens; /* cached */
    uint32_t max_tokens; /* 0: no bound */
} cw_part_query_t;

typedef struct cw_part_versions_t cw_part_versions_t;

/* allocator may be NULL. The table is allocated when the first part is added. */
cw_part_versions_t* cw_part_versions_setup(uint32_t capacity, const cw_allocator_t* allocator);
void cw_part_versions_shutdown(cw_part_versions_t* t);
/* Adds what an engine has listed. When the table is full, the oldest part is dropped. */
void cw_part_versions_add(cw_part_versions_t* t, int64_t now_ms, const cw_part_version_t* listed);
/* Number of versions whose engines have listed the part so: 0, 1 or 2 (several). version: set if it is 1. */
uint32_t cw_part_versions_find(const cw_part_versions_t* t, const cw_part_query_t* query, uint64_t* version);
/* Whether a part listed since since_ms was dropped: one that isn't found may have been listed. */
bool cw_part_versions_has_dropped(const cw_part_versions_t* t, int64_t since_ms);

#endif /* CHALKWAY_PART_VERSIONS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PART_VERSIONS_IMPL_INCLUDED
#define CHALKWAY_PART_VERSIONS_IMPL_INCLUDED

#include "chalkway_map.h"

#define _CW_PART_VERSIONS_EACH 2 /* versions kept of a part: a second one shows that the version is ambiguous */

typedef struct _cw_part_holder_t {
    uint64_t version; /* 0: none */
    uint32_t tokens;
} _cw_part_holder_t;

typedef struct _cw_part_versions_item_t {
    uint64_t key; /* of pool and part */
    int64_t listed_ms;
    bool has_more; /* versions than there is room for */
    _cw_part_holder_t holders[_CW_PART_VERSIONS_EACH];
} _cw_part_versions_item_t;

struct cw_part_versions_t {
    cw_allocator_t allocator;
    cw_map_t index;                  /* key to position */
    _cw_part_versions_item_t* items; /* ring, in the order of arrival; NULL: nothing was added */
    uint32_t capacity, next, count;
    int64_t dropped_ms; /* latest listing of a part that was dropped, INT64_MIN: none */
};

cw_part_versions_t* cw_part_versions_setup(uint32_t capacity, const cw_allocator_t* allocator) {
    cw_part_versions_t* t = cw_alloc(allocator, 1, sizeof(*t));
    if (allocator) {
        t->allocator = *allocator;
    }
    t->capacity = capacity;
    t->dropped_ms = INT64_MIN;
    return t;
}

void cw_part_versions_shutdown(cw_part_versions_t* t) {
    cw_allocator_t allocator = t->allocator;
    if (t->items) {
        cw_map_shutdown(&t->index);
        cw_free(&allocator, t->items);
    }
    cw_free(&allocator, t);
}

static uint64_t _cw_part_versions_key(uint64_t pool, uint64_t part) {
    return cw_mix(pool, part) | 1U; /* 0 is no key */
}

static _cw_part_versions_item_t* _cw_part_versions_get(cw_part_versions_t* t, uint64_t key) {
    uint32_t at = cw_map_get(&t->index, key);
    if (at != CW_MAP_NONE) {
        return &t->items[at];
    }
    at = t->next;
    t->next = (t->next + 1) % t->capacity;
    if (t->count == t->capacity) {
        cw_map_remove(&t->index, t->items[at].key);
        t->dropped_ms = t->items[at].listed_ms > t->dropped_ms ? t->items[at].listed_ms : t->dropped_ms;
    } else {
        t->count++;
    }
    t->items[at] = (_cw_part_versions_item_t){.key = key};
    cw_map_put(&t->index, key, at);
    return &t->items[at];
}

/* The entry for the version: its own one, an unused one, or that of the fewest tokens. */
static _cw_part_holder_t* _cw_part_versions_holder(_cw_part_versions_item_t* item, uint64_t version) {
    _cw_part_holder_t* chosen = &item->holders[0];
    for (uint32_t i = 0; i < _CW_PART_VERSIONS_EACH; i++) {
        _cw_part_holder_t* holder = &item->holders[i];
        if (holder->version == version) {
            return holder;
        }
        chosen = holder->tokens < chosen->tokens ? holder : chosen;
    }
    return chosen;
}

void cw_part_versions_add(cw_part_versions_t* t, int64_t now_ms, const cw_part_version_t* listed) {
    if (!listed->part || !listed->tokens) {
        return;
    }
    if (!t->items) {
        t->items = cw_alloc(&t->allocator, t->capacity, sizeof(*t->items));
        t->index = cw_map_setup(t->capacity, &t->allocator);
    }
    _cw_part_versions_item_t* item = _cw_part_versions_get(t, _cw_part_versions_key(listed->pool, listed->part));
    _cw_part_holder_t* holder = _cw_part_versions_holder(item, listed->version);
    uint32_t known = holder->version == listed->version ? holder->tokens : 0;
    item->has_more = item->has_more || (holder->version && holder->version != listed->version);
    item->listed_ms = now_ms;
    *holder =
        (_cw_part_holder_t){.version = listed->version, .tokens = known > listed->tokens ? known : listed->tokens};
}

uint32_t cw_part_versions_find(const cw_part_versions_t* t, const cw_part_query_t* query, uint64_t* version) {
    uint32_t max_tokens = query->max_tokens ? query->max_tokens : UINT32_MAX;
    bool is_searched = t->items && query->part;
    uint32_t at = is_searched ? cw_map_get(&t->index, _cw_part_versions_key(query->pool, query->part)) : CW_MAP_NONE;
    uint32_t count = 0;
    if (at == CW_MAP_NONE || t->items[at].listed_ms < query->since_ms) {
        return 0;
    }
    for (uint32_t i = 0; i < _CW_PART_VERSIONS_EACH; i++) {
        const _cw_part_holder_t* holder = &t->items[at].holders[i];
        if (holder->version && holder->tokens >= query->min_tokens && holder->tokens <= max_tokens) {
            *version = holder->version;
            count++;
        }
    }
    return t->items[at].has_more ? _CW_PART_VERSIONS_EACH : count;
}

bool cw_part_versions_has_dropped(const cw_part_versions_t* t, int64_t since_ms) {
    return t->dropped_ms >= since_ms;
}

#endif /* CHALKWAY_PART_VERSIONS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
