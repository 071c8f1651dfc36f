#ifndef CHALKWAY_SPANS_H
#define CHALKWAY_SPANS_H
/*
    chalkway_spans.h -- spans of time

    WHAT IT IS
        A sorted list of spans, kept for what a host doesn't know: a host that
        starts doesn't know what was before, and one that stood still or was
        cut off doesn't know what happened meanwhile. What two hosts know
        together is all but the intersection of their lists.

        The list is short. When it is full, the two oldest spans become one
        that covers both.

    HOW TO USE IT
            cw_spans_t unknown = {0};
            cw_spans_add(&unknown, CW_SPANS_FOREVER_MS, start_ms);
            cw_spans_add(&unknown, stopped_ms, continued_ms);
            cw_spans_intersect(&unknown, &unknown_to_another_host);
            bool knows_all_since = cw_spans_end_ms(&unknown) <= since_ms;

    WHAT IT DOES NOT DO
        It has no clock.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_SPANS_MAX 8
#define CW_SPANS_FOREVER_MS 0 /* begin of a span that reaches back without end */

/* [from_ms, to_ms) */
typedef struct cw_span_t {
    int64_t from_ms, to_ms;
} cw_span_t;

typedef struct cw_spans_t {
    uint32_t count;
    cw_span_t items[CW_SPANS_MAX]; /* sorted and disjoint */
} cw_spans_t;

/* Adds a span that begins no earlier than the last one. An empty one is ignored. */
void cw_spans_add(cw_spans_t* g, int64_t from_ms, int64_t to_ms);
/* Keeps what lies in a span of both. */
void cw_spans_intersect(cw_spans_t* g, const cw_spans_t* other);
/* Removes the spans that begin at since_ms or later. */
void cw_spans_drop_since(cw_spans_t* g, int64_t since_ms);
/* End of the last span; CW_SPANS_FOREVER_MS: there is none. */
int64_t cw_spans_end_ms(const cw_spans_t* g);

#endif /* CHALKWAY_SPANS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SPANS_IMPL_INCLUDED
#define CHALKWAY_SPANS_IMPL_INCLUDED

static void _cw_spans_join_oldest(cw_spans_t* g) {
    g->items[0].to_ms = g->items[1].to_ms;
    for (uint32_t i = 1; i + 1 < g->count; i++) {
        g->items[i] = g->items[i + 1];
    }
    g->count--;
}

void cw_spans_add(cw_spans_t* g, int64_t from_ms, int64_t to_ms) {
    cw_span_t* last = g->count ? &g->items[g->count - 1] : NULL;
    if (to_ms <= from_ms) {
        return;
    }
    if (last && from_ms <= last->to_ms) {
        last->to_ms = to_ms > last->to_ms ? to_ms : last->to_ms;
        return;
    }
    if (g->count == CW_SPANS_MAX) {
        _cw_spans_join_oldest(g);
    }
    g->items[g->count++] = (cw_span_t){from_ms, to_ms};
}

void cw_spans_intersect(cw_spans_t* g, const cw_spans_t* other) {
    cw_spans_t common = {0};
    for (uint32_t i = 0, k = 0; i < g->count && k < other->count;) {
        const cw_span_t* a = &g->items[i];
        const cw_span_t* b = &other->items[k];
        cw_spans_add(&common, a->from_ms > b->from_ms ? a->from_ms : b->from_ms,
                     a->to_ms < b->to_ms ? a->to_ms : b->to_ms);
        if (a->to_ms < b->to_ms) {
            i++;
        } else {
            k++;
        }
    }
    *g = common;
}

void cw_spans_drop_since(cw_spans_t* g, int64_t since_ms) {
    while (g->count && g->items[g->count - 1].from_ms >= since_ms) {
        g->count--;
    }
}

int64_t cw_spans_end_ms(const cw_spans_t* g) {
    return g->count ? g->items[g->count - 1].to_ms : CW_SPANS_FOREVER_MS;
}

#endif /* CHALKWAY_SPANS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
