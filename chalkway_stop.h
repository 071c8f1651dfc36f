#ifndef CHALKWAY_STOP_H
#define CHALKWAY_STOP_H
/*
    chalkway_stop.h -- phases of a graceful stop

    WHAT IT IS
        A process that is ordered to stop keeps accepting requests for a
        while, since callers cache its address; then it refuses new requests;
        then it exits. An idle process does not exit at once but passes
        through the refusing phase first: a request that is read between that
        step and the exit is refused, so it does not go without a response.

    HOW TO USE IT
            cw_stop_t stop = {0};                               // not stopping
            cw_stop_begin(&stop, now_ms, &(cw_stop_desc_t){...}); // on the order to stop
            switch (cw_stop_update(&stop, now_ms, active)) { ... } // once per loop iteration

    WHAT IT DOES NOT DO
        It closes no connections and refuses no requests itself.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef enum cw_stop_phase_t {
    CW_STOP_NONE = 0,  /* not stopping */
    CW_STOP_ACCEPTING, /* new requests are still accepted */
    CW_STOP_REFUSING,  /* new requests are refused, active ones continue */
    CW_STOP_EXIT       /* the process must exit now */
} cw_stop_phase_t;

/* Times since the order to stop. */
typedef struct cw_stop_desc_t {
    uint32_t min_accept_ms; /* shortest time to accept requests, since callers cache addresses */
    uint32_t max_accept_ms; /* longest time to accept requests while others are active */
    uint32_t force_exit_ms; /* forces the exit, even with active requests */
} cw_stop_desc_t;

typedef struct cw_stop_t {
    cw_stop_phase_t phase;
    int64_t begun_ms;
    cw_stop_desc_t desc;
} cw_stop_t;

/* Starts the stop; has no effect when it has already started. */
void cw_stop_begin(cw_stop_t* s, int64_t now_ms, const cw_stop_desc_t* desc);
/* Advances the phase and returns it. Call it once per loop iteration with the number of unanswered requests. */
cw_stop_phase_t cw_stop_update(cw_stop_t* s, int64_t now_ms, uint32_t active);

#endif /* CHALKWAY_STOP_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STOP_IMPL_INCLUDED
#define CHALKWAY_STOP_IMPL_INCLUDED

void cw_stop_begin(cw_stop_t* s, int64_t now_ms, const cw_stop_desc_t* desc) {
    if (s->phase == CW_STOP_NONE) {
        *s = (cw_stop_t){.phase = CW_STOP_ACCEPTING, .begun_ms = now_ms, .desc = *desc};
    }
}

cw_stop_phase_t cw_stop_update(cw_stop_t* s, int64_t now_ms, uint32_t active) {
    if (s->phase == CW_STOP_NONE) {
        return s->phase;
    }
    int64_t elapsed_ms = now_ms - s->begun_ms;
    bool is_idle = !active && elapsed_ms >= s->desc.min_accept_ms;
    if (elapsed_ms > s->desc.force_exit_ms || (s->phase == CW_STOP_REFUSING && is_idle)) {
        s->phase = CW_STOP_EXIT;
    } else if (is_idle || elapsed_ms > s->desc.max_accept_ms) {
        s->phase = CW_STOP_REFUSING;
    }
    return s->phase;
}

#endif /* CHALKWAY_STOP_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
