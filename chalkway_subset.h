#ifndef CHALKWAY_SUBSET_H
#define CHALKWAY_SUBSET_H
/*
    chalkway_subset.h -- which servers of a large pool a fleet works with

    WHAT IT IS
        Deterministic subsetting: all hosts use the same part of a pool
        without telling each other. A server belongs to it when the top bits
        of the hash of its id are zero; a part of half the size uses one bit
        more, so each part holds all smaller ones, and a server that comes or
        goes changes no other one's membership. Hosts whose lists differ for
        a moment differ by those servers only.

        The part has at least as many servers as asked for, up to twice that,
        and is halved or doubled only when the pool has changed by more than
        chance would. It is doubled when a request finds no place in it, up
        to the whole pool, and stays so for a while.

    HOW TO USE IT
            cw_subset_t subset = {.least = 1000};
            cw_subset_fit(&subset, now_ms, count);           // with each list
            for each server: if (cw_subset_has(&subset, id)) { use it }
            if (nobody has room && cw_subset_widen(&subset, now_ms)) { list again }

    WHAT IT DOES NOT DO
        It holds no servers and chooses none of them (chalkway_balance.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_subset_t {
    uint32_t least;     /* servers that it has at least, where the pool has as many */
    uint32_t shift;     /* bits that are zero; 0: the whole pool */
    int64_t widened_ms; /* when it was doubled last, 0: never */
} cw_subset_t;

/* Takes the size of the pool. Returns whether the part has changed. */
bool cw_subset_fit(cw_subset_t* subset, int64_t now_ms, uint32_t count);
bool cw_subset_has(const cw_subset_t* subset, uint64_t id);
/* Doubles the part; false when it is the whole pool, or was doubled a moment ago. */
bool cw_subset_widen(cw_subset_t* subset, int64_t now_ms);

#endif /* CHALKWAY_SUBSET_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SUBSET_IMPL_INCLUDED
#define CHALKWAY_SUBSET_IMPL_INCLUDED

#define _CW_SUBSET_SALT 0x5b5e7
#define _CW_SUBSET_SLACK 0.8     /* of least: a part that has grown smaller than that is doubled */
#define _CW_SUBSET_ROOM 2.5      /* times least: a larger one is halved */
#define _CW_SUBSET_KEEP_MS 60000 /* a part that was doubled for want of places isn't halved for so long */
#define _CW_SUBSET_PAUSE_MS 100  /* between two doublings: what the first one gave must be known */

/* Servers that the part has, on average. */
static double _cw_subset_size(uint32_t shift, uint32_t count) {
    return (double)count / (double)(UINT64_C(1) << shift);
}

bool cw_subset_fit(cw_subset_t* subset, int64_t now_ms, uint32_t count) {
    uint32_t before = subset->shift;
    bool kept = subset->widened_ms && now_ms - subset->widened_ms < _CW_SUBSET_KEEP_MS;
    while (subset->shift && _cw_subset_size(subset->shift, count) < _CW_SUBSET_SLACK * subset->least) {
        subset->shift--;
    }
    while (!kept && _cw_subset_size(subset->shift, count) > _CW_SUBSET_ROOM * subset->least) {
        subset->shift++;
    }
    return subset->shift != before;
}

bool cw_subset_has(const cw_subset_t* subset, uint64_t id) {
    return !subset->shift || cw_mix(id, _CW_SUBSET_SALT) >> (64U - subset->shift) == 0;
}

bool cw_subset_widen(cw_subset_t* subset, int64_t now_ms) {
    bool soon = subset->widened_ms && now_ms - subset->widened_ms < _CW_SUBSET_PAUSE_MS;
    if (!subset->shift || soon) {
        return false;
    }
    subset->shift--;
    subset->widened_ms = now_ms;
    return true;
}

#endif /* CHALKWAY_SUBSET_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
