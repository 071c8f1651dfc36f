#ifndef CHALKWAY_INCARNATION_EVENTS_H
#define CHALKWAY_INCARNATION_EVENTS_H
/*
    chalkway_incarnation_events.h -- the latest event of each server incarnation

    WHAT IT IS
        A fixed ring of server incarnations with the time of the latest event
        of one kind that each had, such as a crash or a sign of life. A new
        incarnation replaces the oldest one.

    HOW TO USE IT
            cw_incarnation_events_t crashes = {0};
            cw_incarnation_events_put(&crashes, &(cw_incarnation_event_t){.incarnation = key, .at_ms = now_ms});
            cw_incarnation_event_t* crash = cw_incarnation_events_find(&crashes, key);

    WHAT IT DOES NOT DO
        It does not decide which of two events counts: put replaces.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_suspects.h"

#define CW_INCARNATION_EVENTS_MAX 256

typedef struct cw_incarnation_event_t {
    uint64_t incarnation;
    int64_t at_ms;
    uint32_t delay_ms;    /* of a crash: it may have been up to so much later */
    cw_run_phase_t phase; /* of a crash: the most suspicious one reported */
} cw_incarnation_event_t;

typedef struct cw_incarnation_events_t {
    cw_incarnation_event_t items[CW_INCARNATION_EVENTS_MAX];
    uint32_t next;
} cw_incarnation_events_t;

/* The event of the incarnation; NULL: it had none, or was replaced. */
cw_incarnation_event_t* cw_incarnation_events_find(cw_incarnation_events_t* events, uint64_t incarnation);
/* Adds the event, or replaces that of the same incarnation. */
void cw_incarnation_events_put(cw_incarnation_events_t* events, const cw_incarnation_event_t* event);

#endif /* CHALKWAY_INCARNATION_EVENTS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_INCARNATION_EVENTS_IMPL_INCLUDED
#define CHALKWAY_INCARNATION_EVENTS_IMPL_INCLUDED

cw_incarnation_event_t* cw_incarnation_events_find(cw_incarnation_events_t* events, uint64_t incarnation) {
    for (uint32_t i = 0; i < CW_INCARNATION_EVENTS_MAX; i++) {
        if (events->items[i].incarnation == incarnation) {
            return &events->items[i];
        }
    }
    return NULL;
}

void cw_incarnation_events_put(cw_incarnation_events_t* events, const cw_incarnation_event_t* event) {
    cw_incarnation_event_t* known = cw_incarnation_events_find(events, event->incarnation);
    known = known ? known : &events->items[events->next++ % CW_INCARNATION_EVENTS_MAX];
    *known = *event;
}

#endif /* CHALKWAY_INCARNATION_EVENTS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
