#ifndef CHALKWAY_TURN_H
#define CHALKWAY_TURN_H
/*
    chalkway_turn.h -- whose turn it is for a place, and until when a request waits for one

    WHAT IT IS
        The order in which requests that wait for a place of the same pool
        get it, and the times of such a wait.

        A request is in time for a short while, the same for all of a pool.
        One that found no place until then is late: it waits on, behind all
        that are in time, for as long as its caller still listens and could
        still be answered. Late, it is of use; refused, it got nothing. Work
        that may take its time (long prompts) is refused instead: late, it
        would hold places for seconds that others need in time.

        Light work, a kind that needs next to none of the pool's places, goes
        before all: behind a kind that holds places for seconds it would wait
        as long as that one, and it costs that one nothing.

    HOW TO USE IT
            cw_turn_wait_t wait = cw_turn_wait(&ask); // when it finds no place
            cw_turn_t turn = {.urgency = urgency, .light = light, .arrived_ms = arrived_ms};
            if (cw_turn_before(&turn, &other)) { ... }

    WHAT IT DOES NOT DO
        It keeps no queue, and knows no servers.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* A request that waits. */
typedef struct cw_turn_t {
    uint32_t urgency; /* 0 goes first */
    bool light;
    bool late;
    int64_t arrived_ms;
} cw_turn_t;

/* What the times of a wait follow from. */
typedef struct cw_turn_ask_t {
    int64_t now_ms;
    int64_t leaves_ms;         /* its caller is taken to be gone then */
    uint32_t target_ms;        /* of the request, to the first byte */
    double shortest_target_ms; /* of the pool, 0: not known */
    bool patient;              /* it may take its time, and does not wait late */
} cw_turn_ask_t;

typedef struct cw_turn_wait_t {
    int64_t late_ms;  /* late from then on */
    int64_t until_ms; /* refused then; not before late_ms */
} cw_turn_wait_t;

/* Whether x gets a place before y. */
bool cw_turn_before(const cw_turn_t* x, const cw_turn_t* y);
/* How long a request waits that finds no place now. */
cw_turn_wait_t cw_turn_wait(const cw_turn_ask_t* ask);

#endif /* CHALKWAY_TURN_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_TURN_IMPL_INCLUDED
#define CHALKWAY_TURN_IMPL_INCLUDED

#define _CW_TURN_TIME_SHARE 0.4 /* of the pool's shortest target: whoever waited longer would hardly be in time */
#define _CW_TURN_TIME_MIN_MS 20

bool cw_turn_before(const cw_turn_t* x, const cw_turn_t* y) {
    if (x->light != y->light) {
        return x->light;
    }
    if (x->late != y->late) {
        return y->late;
    }
    return x->urgency != y->urgency ? x->urgency < y->urgency : x->arrived_ms < y->arrived_ms;
}

cw_turn_wait_t cw_turn_wait(const cw_turn_ask_t* ask) {
    bool shorter = ask->shortest_target_ms > 0 && ask->shortest_target_ms < ask->target_ms;
    double time_ms = _CW_TURN_TIME_SHARE * (shorter ? ask->shortest_target_ms : ask->target_ms);
    int64_t late_ms = ask->now_ms + (int64_t)(time_ms > _CW_TURN_TIME_MIN_MS ? time_ms : _CW_TURN_TIME_MIN_MS);
    /* Sent with less than its target left, it would run for a caller that is gone. */
    int64_t last_ms = ask->leaves_ms - ask->target_ms;
    return (cw_turn_wait_t){.late_ms = late_ms, .until_ms = !ask->patient && last_ms > late_ms ? last_ms : late_ms};
}

#endif /* CHALKWAY_TURN_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
