#ifndef CHALKWAY_GAP_LIMITS_H
#define CHALKWAY_GAP_LIMITS_H
/*
    chalkway_gap_limits.h -- gap limits of the streams at one server

    WHAT IT IS
        Numbers of streams by gap limit, the longest accepted gap between two
        events. Only the strictest limit matters: a prompt whose stalls are
        within it exceeds no other stream's limit either.

    HOW TO USE IT
            cw_gap_limits_t g = {0};
            cw_gap_limits_add(&g, gap_ms, 1); // and -1 when the stream ends
            cw_gap_limit_t strictest = cw_gap_limits_strictest(&g);

    WHAT IT DOES NOT DO
        It does not predict stalls (chalkway_stall.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_GAP_LIMITS_MAX 8 /* number of different limits; streams with further ones are counted under the last one */

/* Streams with the same gap limit. */
typedef struct cw_gap_limit_t {
    uint32_t gap_ms, count;
} cw_gap_limit_t;

/* All zero: no streams. */
typedef struct cw_gap_limits_t {
    cw_gap_limit_t items[CW_GAP_LIMITS_MAX];
} cw_gap_limits_t;

/* Adds a stream (by = 1) or removes one (-1). */
void cw_gap_limits_add(cw_gap_limits_t* g, uint32_t gap_ms, int by);
/* The streams with the strictest limit; count 0: there are none. */
cw_gap_limit_t cw_gap_limits_strictest(const cw_gap_limits_t* g);

#endif /* CHALKWAY_GAP_LIMITS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_GAP_LIMITS_IMPL_INCLUDED
#define CHALKWAY_GAP_LIMITS_IMPL_INCLUDED

void cw_gap_limits_add(cw_gap_limits_t* g, uint32_t gap_ms, int by) {
    cw_gap_limit_t* entry = &g->items[CW_GAP_LIMITS_MAX - 1];
    for (uint32_t i = 0; i < CW_GAP_LIMITS_MAX; i++) {
        if (g->items[i].gap_ms == gap_ms || !g->items[i].gap_ms) {
            entry = &g->items[i];
            break;
        }
    }
    entry->gap_ms = entry->count ? entry->gap_ms : gap_ms;
    entry->count = (uint32_t)((int)entry->count + by > 0 ? (int)entry->count + by : 0);
}

cw_gap_limit_t cw_gap_limits_strictest(const cw_gap_limits_t* g) {
    cw_gap_limit_t strictest = {0};
    for (uint32_t i = 0; i < CW_GAP_LIMITS_MAX; i++) {
        const cw_gap_limit_t* other = &g->items[i];
        if (other->count && (!strictest.count || other->gap_ms < strictest.gap_ms)) {
            strictest = *other;
        }
    }
    return strictest;
}

#endif /* CHALKWAY_GAP_LIMITS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
