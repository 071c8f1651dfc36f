#ifndef CHALKWAY_RECENT_H
#define CHALKWAY_RECENT_H
/*
    chalkway_recent.h -- ids that were seen within a time

    WHAT IT IS
        A fixed number of ids, each with the time at which it was last seen.
        When all are in use, a new id replaces one that has not been seen for
        long: slots are reused in turn, and an id that was seen again since its
        last turn is passed over once (the clock algorithm).

    HOW TO USE IT
            cw_recent_t r = cw_recent_setup(4096, 30000, NULL);
            cw_recent_put(&r, now_ms, id);
            if (cw_recent_has(&r, now_ms, id)) { ... }
            cw_recent_shutdown(&r);

    WHAT IT DOES NOT DO
        It does not guarantee to remember an id: has may be false for one that
        was seen when more ids are in use than fit.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_map.h"

typedef struct cw_recent_slot_t {
    uint64_t id; /* 0: unused */
    int64_t seen_ms;
    bool is_seen_again; /* since the hand passed it */
} cw_recent_slot_t;

typedef struct cw_recent_t {
    cw_allocator_t allocator;
    cw_map_t by_id;
    cw_recent_slot_t* slots;
    uint32_t capacity, hand, keep_ms;
} cw_recent_t;

/* keep_ms: time for which an id counts as seen. allocator NULL: malloc. */
cw_recent_t cw_recent_setup(uint32_t capacity, uint32_t keep_ms, const cw_allocator_t* allocator);
void cw_recent_shutdown(cw_recent_t* r);
/* id must not be 0. */
void cw_recent_put(cw_recent_t* r, int64_t now_ms, uint64_t id);
bool cw_recent_has(const cw_recent_t* r, int64_t now_ms, uint64_t id);

#endif /* CHALKWAY_RECENT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_RECENT_IMPL_INCLUDED
#define CHALKWAY_RECENT_IMPL_INCLUDED

cw_recent_t cw_recent_setup(uint32_t capacity, uint32_t keep_ms, const cw_allocator_t* allocator) {
    cw_recent_t r = {.capacity = capacity, .keep_ms = keep_ms};
    r.allocator = allocator ? *allocator : (cw_allocator_t){0};
    r.slots = cw_alloc(&r.allocator, capacity, sizeof(*r.slots));
    r.by_id = cw_map_setup(capacity, &r.allocator);
    return r;
}

void cw_recent_shutdown(cw_recent_t* r) {
    cw_map_shutdown(&r->by_id);
    cw_free(&r->allocator, r->slots);
}

/* Index of the next slot to reuse. */
static uint32_t _cw_recent_next_slot(cw_recent_t* r) {
    while (r->slots[r->hand % r->capacity].is_seen_again) {
        r->slots[r->hand++ % r->capacity].is_seen_again = false;
    }
    return r->hand++ % r->capacity;
}

void cw_recent_put(cw_recent_t* r, int64_t now_ms, uint64_t id) {
    uint32_t at = r->by_id.count ? cw_map_get(&r->by_id, id) : CW_MAP_NONE;
    if (at != CW_MAP_NONE) {
        r->slots[at].seen_ms = now_ms;
        r->slots[at].is_seen_again = true;
        return;
    }
    at = _cw_recent_next_slot(r);
    if (r->slots[at].id) {
        cw_map_remove(&r->by_id, r->slots[at].id);
    }
    r->slots[at] = (cw_recent_slot_t){.id = id, .seen_ms = now_ms};
    cw_map_put(&r->by_id, id, at);
}

bool cw_recent_has(const cw_recent_t* r, int64_t now_ms, uint64_t id) {
    uint32_t at = r->by_id.count ? cw_map_get(&r->by_id, id) : CW_MAP_NONE;
    return at != CW_MAP_NONE && now_ms - r->slots[at].seen_ms < (int64_t)r->keep_ms;
}

#endif /* CHALKWAY_RECENT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
