#ifndef CHALKWAY_OCCUPANCY_H
#define CHALKWAY_OCCUPANCY_H
/*
    chalkway_occupancy.h -- slot occupancy by urgency

    WHAT IT IS
        One host's requests at a pool by urgency: the number that occupy a
        slot now, and moving means of the hold time of served requests and of
        the prompt length of all requests. By Little's law, the arrival rate
        of an urgency times its hold time is the number of slots that it
        occupies once all its requests are served. The expected growth of
        that number within some time is the number of slots that other
        requests should leave free.

    HOW TO USE IT
            cw_occupancy_t o = {0};
            cw_occupancy_begin(&o, urgency);
            cw_occupancy_learn(&o, urgency, hold_ms); // the request was served
            cw_occupancy_end(&o, urgency);
            double slots = cw_occupancy_slots(&o, urgency, rate_per_s);
            double growth = cw_occupancy_growth(&o, urgency, rate_per_s, within_ms);

    WHAT IT DOES NOT DO
        It has no knowledge of servers and of other hosts.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_occupancy_level_t {
    uint32_t running;
    uint32_t samples;
    double hold_ms;       /* mean hold time; 0: no request was served yet */
    double prompt_tokens; /* mean prompt length of all requests */
} cw_occupancy_level_t;

/* All zero: no requests yet. */
typedef struct cw_occupancy_t {
    cw_occupancy_level_t level[CW_URGENCY_LEVELS];
} cw_occupancy_t;

/* Records the arrival of a request with a prompt of this length, whether the request will run or not. */
void cw_occupancy_on_request(cw_occupancy_t* o, uint32_t urgency, uint32_t prompt_tokens);
/* Records that a request takes a slot. */
void cw_occupancy_begin(cw_occupancy_t* o, uint32_t urgency);
/* Records that a request releases its slot. */
void cw_occupancy_end(cw_occupancy_t* o, uint32_t urgency);
/* Records the hold time of a served request. Failed requests are not recorded. */
void cw_occupancy_learn(cw_occupancy_t* o, uint32_t urgency, double hold_ms);
/* Mean hold time of the urgency, ms; 0: no request was served yet. */
double cw_occupancy_hold_ms(const cw_occupancy_t* o, uint32_t urgency);
/* Slots that the urgency occupies at this arrival rate once all its requests are served. */
double cw_occupancy_slots(const cw_occupancy_t* o, uint32_t urgency, double rate_per_s);
/* Expected growth of the number of slots that the urgency occupies, within within_ms (0: until it settles). The part of
   the arrival rate that may be random fluctuation is subtracted. */
double cw_occupancy_growth(const cw_occupancy_t* o, uint32_t urgency, double rate_per_s, double within_ms);
/* Whether the urgency's prompts are short compared to those of the urgency with the longest ones. */
bool cw_occupancy_has_short_prompts(const cw_occupancy_t* o, uint32_t urgency);
/* Number of requests of urgencies from..to that occupy a slot. */
uint32_t cw_occupancy_running(const cw_occupancy_t* o, uint32_t from, uint32_t to);

#endif /* CHALKWAY_OCCUPANCY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_OCCUPANCY_IMPL_INCLUDED
#define CHALKWAY_OCCUPANCY_IMPL_INCLUDED

#include <math.h>

#define _CW_OCCUPANCY_WEIGHT 0.05 /* weight of a new sample; low, since responses differ in length by five to one */
#define _CW_OCCUPANCY_SHORT_SHARE 0.25 /* of the longest mean prompt length: shorter prompts are short */
/* Correction of the mean hold time while the load grows: the responses that have ended by then are the short ones, so
   the mean is too low. With otherwise equal settings, in three types of bursts with ten runs each, 1.0 and 1.4 scored
   0.554 and 0.565 on one pool of nine engines, 0.533 and 0.542 on another one; a class was starved in 5 and 5 runs on
   the one, in 7 and 9 on the other. */
#define _CW_OCCUPANCY_GROWTH_FACTOR 1.4

void cw_occupancy_on_request(cw_occupancy_t* o, uint32_t urgency, uint32_t prompt_tokens) {
    double* mean = &o->level[cw_urgency_level(urgency)].prompt_tokens;
    *mean += (*mean > 0 ? _CW_OCCUPANCY_WEIGHT : 1) * (prompt_tokens - *mean);
}

void cw_occupancy_begin(cw_occupancy_t* o, uint32_t urgency) {
    o->level[cw_urgency_level(urgency)].running++;
}

void cw_occupancy_end(cw_occupancy_t* o, uint32_t urgency) {
    cw_occupancy_level_t* l = &o->level[cw_urgency_level(urgency)];
    l->running -= l->running > 0;
}

void cw_occupancy_learn(cw_occupancy_t* o, uint32_t urgency, double hold_ms) {
    cw_occupancy_level_t* l = &o->level[cw_urgency_level(urgency)];
    double weight = 1.0 / (l->samples + 1);
    weight = weight > _CW_OCCUPANCY_WEIGHT ? weight : _CW_OCCUPANCY_WEIGHT;
    l->samples += l->samples < UINT32_MAX;
    l->hold_ms += weight * (hold_ms - l->hold_ms);
}

double cw_occupancy_hold_ms(const cw_occupancy_t* o, uint32_t urgency) {
    return o->level[cw_urgency_level(urgency)].hold_ms;
}

double cw_occupancy_slots(const cw_occupancy_t* o, uint32_t urgency, double rate_per_s) {
    return rate_per_s * cw_occupancy_hold_ms(o, urgency) / 1000.0;
}

double cw_occupancy_growth(const cw_occupancy_t* o, uint32_t urgency, double rate_per_s, double within_ms) {
    double hold_ms = cw_occupancy_hold_ms(o, urgency);
    double growth = _CW_OCCUPANCY_GROWTH_FACTOR * cw_occupancy_slots(o, urgency, rate_per_s);
    growth -= cw_occupancy_running(o, urgency, urgency);
    growth -= sqrt(rate_per_s) * hold_ms / 1000.0; /* random fluctuation of the arrivals */
    /* Requests end at the rate 1 / hold_ms, so their number approaches its final value exponentially. */
    double share = within_ms > 0 && hold_ms > 0 ? 1 - exp(-within_ms / hold_ms) : 1;
    return growth > 0 ? growth * share : 0;
}

bool cw_occupancy_has_short_prompts(const cw_occupancy_t* o, uint32_t urgency) {
    double longest = 0;
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS; i++) {
        longest = o->level[i].prompt_tokens > longest ? o->level[i].prompt_tokens : longest;
    }
    return o->level[cw_urgency_level(urgency)].prompt_tokens < _CW_OCCUPANCY_SHORT_SHARE * longest;
}

uint32_t cw_occupancy_running(const cw_occupancy_t* o, uint32_t from, uint32_t to) {
    uint32_t sum = 0;
    for (uint32_t i = from; i <= to && i < CW_URGENCY_LEVELS; i++) {
        sum += o->level[i].running;
    }
    return sum;
}

#endif /* CHALKWAY_OCCUPANCY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
