#ifndef CHALKWAY_GAPS_H
#define CHALKWAY_GAPS_H
/*
    chalkway_gaps.h -- how long the streams at one server may pause

    WHAT IT IS
        Counts of streams by the longest pause between events for which they
        are still in time. What matters of them is the shortest: a prompt that
        keeps those streams in time keeps all.

    HOW TO USE IT
            cw_gaps_t g = {0};
            cw_gaps_count(&g, gap_ms, 1); // and -1 as it ends
            cw_gap_t shortest = cw_gaps_shortest(&g);

    WHAT IT DOES NOT DO
        It predicts no pause (chalkway_pause.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_GAPS_MAX 8 /* different longest pauses that are told apart; more are counted with the last one */

/* Streams with the same longest pause. */
typedef struct cw_gap_t {
    uint32_t gap_ms, count;
} cw_gap_t;

/* All zero: no stream. */
typedef struct cw_gaps_t {
    cw_gap_t items[CW_GAPS_MAX];
} cw_gaps_t;

/* Counts a stream in (by = 1) or out (-1). */
void cw_gaps_count(cw_gaps_t* g, uint32_t gap_ms, int by);
/* The streams that are made late most easily; count 0: there is none. */
cw_gap_t cw_gaps_shortest(const cw_gaps_t* g);

#endif /* CHALKWAY_GAPS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_GAPS_IMPL_INCLUDED
#define CHALKWAY_GAPS_IMPL_INCLUDED

void cw_gaps_count(cw_gaps_t* g, uint32_t gap_ms, int by) {
    cw_gap_t* place = &g->items[CW_GAPS_MAX - 1];
    for (uint32_t i = 0; i < CW_GAPS_MAX; i++) {
        if (g->items[i].gap_ms == gap_ms || !g->items[i].gap_ms) {
            place = &g->items[i];
            break;
        }
    }
    place->gap_ms = place->count ? place->gap_ms : gap_ms;
    place->count = (uint32_t)((int)place->count + by > 0 ? (int)place->count + by : 0);
}

cw_gap_t cw_gaps_shortest(const cw_gaps_t* g) {
    cw_gap_t shortest = {0};
    for (uint32_t i = 0; i < CW_GAPS_MAX; i++) {
        const cw_gap_t* other = &g->items[i];
        if (other->count && (!shortest.count || other->gap_ms < shortest.gap_ms)) {
            shortest = *other;
        }
    }
    return shortest;
}

#endif /* CHALKWAY_GAPS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
