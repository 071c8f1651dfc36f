#ifndef CHALKWAY_PREFIX_CACHE_H
#define CHALKWAY_PREFIX_CACHE_H
/*
    chalkway_prefix_cache.h -- estimate of the prompt parts in the servers' prefix caches

    WHAT IT IS
        A 4-way set-associative table of fixed size over pairs of a server
        and a prompt part. An entry holds the number of tokens that the
        server had prefilled when it last used the part. A part counts as
        cached until the server has prefilled as many further tokens as its
        cache holds. An entry takes 12 bytes; the table is allocated when the
        first one is added.

    HOW TO USE IT
            cw_prefix_cache_t* cache = cw_prefix_cache_setup(131072, NULL);
            cw_prefix_cache_add(cache, server, part, prefilled_tokens);
            if (cw_prefix_cache_has(cache, server, part, prefilled_tokens_now, capacity_tokens)) { ... }
            cw_prefix_cache_shutdown(cache);

    WHAT IT DOES NOT DO
        It gets no information from the servers: it is an estimate from the
        prompts that were sent to them. When a set is full, its least
        recently used entry is replaced.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_prefix_cache_t cw_prefix_cache_t;

/* A table for about capacity pairs. allocator may be NULL. */
cw_prefix_cache_t* cw_prefix_cache_setup(uint32_t capacity, const cw_allocator_t* allocator);
void cw_prefix_cache_shutdown(cw_prefix_cache_t* cache);
/* Records that the server uses the part. prefilled_tokens: all tokens that it has prefilled so far. */
void cw_prefix_cache_add(cw_prefix_cache_t* cache, uint64_t server, uint64_t part, uint64_t prefilled_tokens);
/* Whether the part is still cached at the server, whose cache holds capacity_tokens. */
bool cw_prefix_cache_has(const cw_prefix_cache_t* cache, uint64_t server, uint64_t part, uint64_t prefilled_tokens,
                         double capacity_tokens);

#endif /* CHALKWAY_PREFIX_CACHE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PREFIX_CACHE_IMPL_INCLUDED
#define CHALKWAY_PREFIX_CACHE_IMPL_INCLUDED

#define _CW_PREFIX_CACHE_WAYS 4

/* Counters are modulo 2^32: only their differences matter. */
typedef struct _cw_prefix_cache_entry_t {
    uint32_t tag;              /* of server and part, 0: free */
    uint32_t prefilled_tokens; /* by the server, at the last use */
    uint32_t last_use;         /* value of the table's uses at the last use */
} _cw_prefix_cache_entry_t;

struct cw_prefix_cache_t {
    cw_allocator_t allocator;
    _cw_prefix_cache_entry_t* entries; /* NULL: none was added yet */
    uint32_t count;                    /* a power of two */
    uint32_t uses;                     /* number of calls of cw_prefix_cache_add */
};

cw_prefix_cache_t* cw_prefix_cache_setup(uint32_t capacity, const cw_allocator_t* allocator) {
    cw_allocator_t alloc = allocator ? *allocator : (cw_allocator_t){0};
    cw_prefix_cache_t* cache = cw_alloc(&alloc, 1, sizeof(*cache));
    cache->allocator = alloc;
    cache->count = _CW_PREFIX_CACHE_WAYS;
    while (cache->count < capacity) {
        cache->count *= 2;
    }
    return cache;
}

void cw_prefix_cache_shutdown(cw_prefix_cache_t* cache) {
    cw_allocator_t alloc = cache->allocator;
    cw_free(&alloc, cache->entries);
    cw_free(&alloc, cache);
}

/* Tag that distinguishes the pair from others of the same set; never 0. */
static uint32_t _cw_prefix_cache_tag(uint64_t key) {
    uint32_t tag = (uint32_t)(key >> 32);
    return tag ? tag : 1;
}

/* The pair's entry, or the one that it would replace: a free one, else the least recently used one. */
static _cw_prefix_cache_entry_t* _cw_prefix_cache_entry(const cw_prefix_cache_t* cache, uint64_t key) {
    _cw_prefix_cache_entry_t* ways =
        &cache->entries[(uint32_t)key & (cache->count - 1) & ~(uint32_t)(_CW_PREFIX_CACHE_WAYS - 1)];
    _cw_prefix_cache_entry_t* oldest = ways;
    for (uint32_t i = 0; i < _CW_PREFIX_CACHE_WAYS; i++) {
        if (!ways[i].tag || ways[i].tag == _cw_prefix_cache_tag(key)) {
            return &ways[i];
        }
        oldest = cache->uses - ways[i].last_use > cache->uses - oldest->last_use ? &ways[i] : oldest;
    }
    return oldest;
}

void cw_prefix_cache_add(cw_prefix_cache_t* cache, uint64_t server, uint64_t part, uint64_t prefilled_tokens) {
    uint64_t key = cw_mix(server, part);
    if (!cache->entries) {
        cache->entries = cw_alloc(&cache->allocator, cache->count, sizeof(*cache->entries));
    }
    _cw_prefix_cache_entry_t* entry = _cw_prefix_cache_entry(cache, key);
    *entry = (_cw_prefix_cache_entry_t){
        .tag = _cw_prefix_cache_tag(key), .prefilled_tokens = (uint32_t)prefilled_tokens, .last_use = ++cache->uses};
}

bool cw_prefix_cache_has(const cw_prefix_cache_t* cache, uint64_t server, uint64_t part, uint64_t prefilled_tokens,
                         double capacity_tokens) {
    if (!cache->entries) {
        return false;
    }
    uint64_t key = cw_mix(server, part);
    const _cw_prefix_cache_entry_t* entry = _cw_prefix_cache_entry(cache, key);
    return entry->tag == _cw_prefix_cache_tag(key) &&
           (uint32_t)prefilled_tokens - entry->prefilled_tokens < capacity_tokens;
}

#endif /* CHALKWAY_PREFIX_CACHE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
