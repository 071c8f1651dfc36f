#ifndef CHALKWAY_SUBSET_H
#define CHALKWAY_SUBSET_H
/*
    chalkway_subset.h -- deterministic subset of a large pool

    WHAT IT IS
        All hosts of a fleet use the same subset of a pool's servers, without
        communication. A server belongs to it when the top bits of the hash
        of its id are zero. A subset of half the size uses one bit more, so
        each subset includes all smaller ones, and a server that joins or
        leaves changes no other server's membership. Hosts whose lists of
        servers differ for a moment differ only in the servers concerned.

        The subset has at least the given number of servers and up to twice
        as many. It is halved or doubled only when the size of the pool
        leaves a range wider than random fluctuations. It is also doubled, up
        to the whole pool, when a request finds no free slot in it, and then
        not halved for a while.

    HOW TO USE IT
            cw_subset_t subset = {.min_servers = 1000};
            cw_subset_resize(&subset, now_ms, count);           // after each change of the list
            for each server: if (cw_subset_has(&subset, id)) { use it }
            if (no server has a free slot && cw_subset_expand(&subset, now_ms)) { apply the list again }

    WHAT IT DOES NOT DO
        It has no list of servers and chooses none of them
        (chalkway_balance.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_subset_t {
    uint32_t min_servers; /* least number of servers of the subset, if the pool has that many */
    uint32_t shift;       /* number of hash bits that are zero; 0: the whole pool */
    int64_t expanded_ms;  /* time of the last doubling for lack of slots, 0: never */
} cw_subset_t;

/* Adapts the subset to the size of the pool. Returns whether it has changed. */
bool cw_subset_resize(cw_subset_t* subset, int64_t now_ms, uint32_t count);
bool cw_subset_has(const cw_subset_t* subset, uint64_t id);
/* Doubles the subset; false when it is the whole pool, or was doubled a moment ago. */
bool cw_subset_expand(cw_subset_t* subset, int64_t now_ms);

#endif /* CHALKWAY_SUBSET_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SUBSET_IMPL_INCLUDED
#define CHALKWAY_SUBSET_IMPL_INCLUDED

#define _CW_SUBSET_SALT 0x5b5e7
#define _CW_SUBSET_DOUBLE_BELOW 0.8 /* of min_servers: a smaller subset is doubled */
#define _CW_SUBSET_HALVE_ABOVE 2.5  /* times min_servers: a larger subset is halved */
/* Time after a doubling for lack of slots in which the subset is not halved. */
#define _CW_SUBSET_EXPANDED_MIN_MS 60000
/* Least time between two doublings, so that the slots of the first one are known. */
#define _CW_SUBSET_EXPAND_INTERVAL_MS 100

/* Expected number of servers in the subset. */
static double _cw_subset_size(uint32_t shift, uint32_t count) {
    return (double)count / (double)(UINT64_C(1) << shift);
}

bool cw_subset_resize(cw_subset_t* subset, int64_t now_ms, uint32_t count) {
    uint32_t old_shift = subset->shift;
    bool is_expanded = subset->expanded_ms && now_ms - subset->expanded_ms < _CW_SUBSET_EXPANDED_MIN_MS;
    while (subset->shift && _cw_subset_size(subset->shift, count) < _CW_SUBSET_DOUBLE_BELOW * subset->min_servers) {
        subset->shift--;
    }
    while (!is_expanded && _cw_subset_size(subset->shift, count) > _CW_SUBSET_HALVE_ABOVE * subset->min_servers) {
        subset->shift++;
    }
    return subset->shift != old_shift;
}

bool cw_subset_has(const cw_subset_t* subset, uint64_t id) {
    return !subset->shift || cw_mix(id, _CW_SUBSET_SALT) >> (64U - subset->shift) == 0;
}

bool cw_subset_expand(cw_subset_t* subset, int64_t now_ms) {
    bool is_recent = subset->expanded_ms && now_ms - subset->expanded_ms < _CW_SUBSET_EXPAND_INTERVAL_MS;
    if (!subset->shift || is_recent) {
        return false;
    }
    subset->shift--;
    subset->expanded_ms = now_ms;
    return true;
}

#endif /* CHALKWAY_SUBSET_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
