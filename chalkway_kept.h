#ifndef CHALKWAY_KEPT_H
#define CHALKWAY_KEPT_H
/*
    chalkway_kept.h -- which parts of prompts a server is taken to keep

    WHAT IT IS
        A table of fixed size, four places for each hash, over pairs of a
        server and a part. Each entry notes how many tokens the server had
        read when it used the part last; a part counts as kept until the
        server has read so many more that its memory was filled with others.
        An entry takes 12 bytes, and the table none before one is added.

    HOW TO USE IT
            cw_kept_t* k = cw_kept_setup(131072, NULL);
            cw_kept_add(k, server, part, tokens_read);
            if (cw_kept_has(k, server, part, tokens_read_now, room_tokens)) { ... }
            cw_kept_shutdown(k);

    WHAT IT DOES NOT DO
        It hears nothing of what a server really keeps: it is a guess from
        what was sent there. When places run out, the part used longest ago
        gives way.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_kept_t cw_kept_t;

/* A table for about capacity pairs. allocator may be NULL. */
cw_kept_t* cw_kept_setup(uint32_t capacity, const cw_allocator_t* allocator);
void cw_kept_shutdown(cw_kept_t* k);
/* The server, which has read so many tokens in all, uses the part. */
void cw_kept_add(cw_kept_t* k, uint64_t server, uint64_t part, uint64_t tokens_read);
/* Whether the part is still there when other parts have room_tokens. */
bool cw_kept_has(const cw_kept_t* k, uint64_t server, uint64_t part, uint64_t tokens_read, double room_tokens);

#endif /* CHALKWAY_KEPT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_KEPT_IMPL_INCLUDED
#define CHALKWAY_KEPT_IMPL_INCLUDED

#define _CW_KEPT_WAYS 4

/* Counters are kept modulo 2^32: only their differences count. */
typedef struct _cw_kept_entry_t {
    uint32_t tag;         /* of server and part, 0: free */
    uint32_t tokens_read; /* by the server then */
    uint32_t used;        /* when, counted in uses of the table */
} _cw_kept_entry_t;

struct cw_kept_t {
    cw_allocator_t allocator;
    _cw_kept_entry_t* entries; /* NULL: none was added yet */
    uint32_t count;            /* a power of two */
    uint32_t uses;
};

cw_kept_t* cw_kept_setup(uint32_t capacity, const cw_allocator_t* allocator) {
    cw_allocator_t memory = allocator ? *allocator : (cw_allocator_t){0};
    cw_kept_t* k = cw_alloc(&memory, 1, sizeof(*k));
    k->allocator = memory;
    k->count = _CW_KEPT_WAYS;
    while (k->count < capacity) {
        k->count *= 2;
    }
    return k;
}

void cw_kept_shutdown(cw_kept_t* k) {
    cw_allocator_t memory = k->allocator;
    cw_free(&memory, k->entries);
    cw_free(&memory, k);
}

/* What tells the pair from others that share its places; never 0. */
static uint32_t _cw_kept_tag(uint64_t key) {
    uint32_t tag = (uint32_t)(key >> 32);
    return tag ? tag : 1;
}

/* The pair's entry, or the one that it would take: a free one, else the one used longest ago. */
static _cw_kept_entry_t* _cw_kept_entry(const cw_kept_t* k, uint64_t key) {
    _cw_kept_entry_t* ways = &k->entries[(uint32_t)key & (k->count - 1) & ~(uint32_t)(_CW_KEPT_WAYS - 1)];
    _cw_kept_entry_t* oldest = ways;
    for (uint32_t i = 0; i < _CW_KEPT_WAYS; i++) {
        if (!ways[i].tag || ways[i].tag == _cw_kept_tag(key)) {
            return &ways[i];
        }
        oldest = k->uses - ways[i].used > k->uses - oldest->used ? &ways[i] : oldest;
    }
    return oldest;
}

void cw_kept_add(cw_kept_t* k, uint64_t server, uint64_t part, uint64_t tokens_read) {
    uint64_t key = cw_mix(server, part);
    if (!k->entries) {
        k->entries = cw_alloc(&k->allocator, k->count, sizeof(*k->entries));
    }
    _cw_kept_entry_t* entry = _cw_kept_entry(k, key);
    *entry = (_cw_kept_entry_t){.tag = _cw_kept_tag(key), .tokens_read = (uint32_t)tokens_read, .used = ++k->uses};
}

bool cw_kept_has(const cw_kept_t* k, uint64_t server, uint64_t part, uint64_t tokens_read, double room_tokens) {
    if (!k->entries) {
        return false;
    }
    uint64_t key = cw_mix(server, part);
    const _cw_kept_entry_t* entry = _cw_kept_entry(k, key);
    return entry->tag == _cw_kept_tag(key) && (uint32_t)tokens_read - entry->tokens_read < room_tokens;
}

#endif /* CHALKWAY_KEPT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
