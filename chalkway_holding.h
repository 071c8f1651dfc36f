#ifndef CHALKWAY_HOLDING_H
#define CHALKWAY_HOLDING_H
/*
    chalkway_holding.h -- for how long work of each urgency holds a place

    WHAT IT IS
        One host's runs at a pool by urgency: how many hold a place now, and
        how long those that were served held theirs, as a moving mean. The rate at
        which an urgency is asked for, times this, is the number of places
        that it takes once all of it is served (Little's law).

    HOW TO USE IT
            cw_holding_t h = {0};
            cw_holding_begin(&h, urgency);
            cw_holding_learn(&h, urgency, held_ms); // it was served
            cw_holding_end(&h, urgency);
            double places = rate_per_ms * cw_holding_ms(&h, urgency);

    WHAT IT DOES NOT DO
        It knows no servers and no other hosts.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_holding_level_t {
    uint32_t running;
    uint32_t samples;
    double held_ms; /* learned */
} cw_holding_level_t;

/* All zero: nothing ran. */
typedef struct cw_holding_t {
    cw_holding_level_t level[CW_URGENCIES];
} cw_holding_t;

void cw_holding_begin(cw_holding_t* h, uint32_t urgency);
/* A run that was begun is over. */
void cw_holding_end(cw_holding_t* h, uint32_t urgency);
/* A run held its place for held_ms until it was served: one that broke off says nothing. */
void cw_holding_learn(cw_holding_t* h, uint32_t urgency, double held_ms);
/* Mean time, ms, for which the urgency holds a place; 0: none was served yet. */
double cw_holding_ms(const cw_holding_t* h, uint32_t urgency);
/* Runs of urgencies from..to. */
uint32_t cw_holding_running(const cw_holding_t* h, uint32_t from, uint32_t to);

#endif /* CHALKWAY_HOLDING_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_HOLDING_IMPL_INCLUDED
#define CHALKWAY_HOLDING_IMPL_INCLUDED

#define _CW_HOLDING_LEARN 0.05 /* weight of a new sample: answers differ in length by five to one */

static uint32_t _cw_holding_level(uint32_t urgency) {
    return urgency < CW_URGENCIES ? urgency : CW_URGENCIES - 1;
}

void cw_holding_begin(cw_holding_t* h, uint32_t urgency) {
    h->level[_cw_holding_level(urgency)].running++;
}

void cw_holding_end(cw_holding_t* h, uint32_t urgency) {
    cw_holding_level_t* l = &h->level[_cw_holding_level(urgency)];
    l->running -= l->running > 0;
}

void cw_holding_learn(cw_holding_t* h, uint32_t urgency, double held_ms) {
    cw_holding_level_t* l = &h->level[_cw_holding_level(urgency)];
    double weight = 1.0 / (l->samples + 1);
    weight = weight > _CW_HOLDING_LEARN ? weight : _CW_HOLDING_LEARN;
    l->samples += l->samples < UINT32_MAX;
    l->held_ms += weight * (held_ms - l->held_ms);
}

double cw_holding_ms(const cw_holding_t* h, uint32_t urgency) {
    return h->level[_cw_holding_level(urgency)].held_ms;
}

uint32_t cw_holding_running(const cw_holding_t* h, uint32_t from, uint32_t to) {
    uint32_t sum = 0;
    for (uint32_t i = from; i <= to && i < CW_URGENCIES; i++) {
        sum += h->level[i].running;
    }
    return sum;
}

#endif /* CHALKWAY_HOLDING_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
