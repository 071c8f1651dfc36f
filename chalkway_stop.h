#ifndef CHALKWAY_STOP_H
#define CHALKWAY_STOP_H
/*
    chalkway_stop.h -- the phases of a planned stop

    WHAT IT IS
        A process that is told to stop goes on taking requests for a while,
        since callers keep its address; then it refuses new ones; then it
        ends. It never ends in the step that finds it quiet: what is read
        between that step and the end is refused, so nothing that was begun
        is left without an answer.

    HOW TO USE IT
            cw_stop_t stop = {0};                               // not stopping
            cw_stop_begin(&stop, now_ms, &(cw_stop_desc_t){...}); // once told to
            switch (cw_stop_step(&stop, now_ms, active)) { ... } // each turn

    WHAT IT DOES NOT DO
        It closes nothing and refuses nothing itself.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef enum cw_stop_phase_t {
    CW_STOP_NOT = 0,  /* nobody told it to stop */
    CW_STOP_TAKING,   /* new requests are still taken */
    CW_STOP_REFUSING, /* new requests are refused, what runs goes on */
    CW_STOP_ENDED     /* the process ends now */
} cw_stop_phase_t;

/* Times from the order to stop. */
typedef struct cw_stop_desc_t {
    uint32_t quiet_ms; /* requests are taken for so long in any case: callers keep addresses */
    uint32_t take_ms;  /* they are taken for so long where others run */
    uint32_t end_ms;   /* it ends then, whatever runs */
} cw_stop_desc_t;

typedef struct cw_stop_t {
    cw_stop_phase_t phase;
    int64_t begun_ms;
    cw_stop_desc_t desc;
} cw_stop_t;

/* The order to stop; one that is repeated changes nothing. */
void cw_stop_begin(cw_stop_t* s, int64_t now_ms, const cw_stop_desc_t* desc);
/* To be called once a turn with the number of requests that are not answered; returns the phase from now on. */
cw_stop_phase_t cw_stop_step(cw_stop_t* s, int64_t now_ms, uint32_t active);

#endif /* CHALKWAY_STOP_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STOP_IMPL_INCLUDED
#define CHALKWAY_STOP_IMPL_INCLUDED

void cw_stop_begin(cw_stop_t* s, int64_t now_ms, const cw_stop_desc_t* desc) {
    if (s->phase == CW_STOP_NOT) {
        *s = (cw_stop_t){.phase = CW_STOP_TAKING, .begun_ms = now_ms, .desc = *desc};
    }
}

cw_stop_phase_t cw_stop_step(cw_stop_t* s, int64_t now_ms, uint32_t active) {
    if (s->phase == CW_STOP_NOT) {
        return s->phase;
    }
    int64_t since_ms = now_ms - s->begun_ms;
    bool quiet = !active && since_ms >= s->desc.quiet_ms;
    if (since_ms > s->desc.end_ms || (s->phase == CW_STOP_REFUSING && quiet)) {
        s->phase = CW_STOP_ENDED;
    } else if (quiet || since_ms > s->desc.take_ms) {
        s->phase = CW_STOP_REFUSING;
    }
    return s->phase;
}

#endif /* CHALKWAY_STOP_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
