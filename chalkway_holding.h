#ifndef CHALKWAY_HOLDING_H
#define CHALKWAY_HOLDING_H
/*
    chalkway_holding.h -- slot occupancy by urgency

    WHAT IT IS
        One host's requests at a pool by urgency: the number that occupy a
        slot now, and moving means of the hold time of served requests and of
        the prompt length of all requests. By Little's law, the arrival rate
        of an urgency times its hold time is the number of slots that it
        occupies once all its requests are served. The expected growth of
        that number within some time tells how many slots other requests
        should leave free.

    HOW TO USE IT
            cw_holding_t h = {0};
            cw_holding_begin(&h, urgency);
            cw_holding_learn(&h, urgency, held_ms); // the request was served
            cw_holding_end(&h, urgency);
            double slots = cw_holding_places(&h, urgency, rate_per_s);
            double growth = cw_holding_growth(&h, urgency, rate_per_s, within_ms);

    WHAT IT DOES NOT DO
        It has no knowledge of servers and of other hosts.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_holding_level_t {
    uint32_t running;
    uint32_t samples;
    double held_ms;       /* mean hold time; 0: none was served yet */
    double prompt_tokens; /* mean prompt length of all requests */
} cw_holding_level_t;

/* All zero: no requests yet. */
typedef struct cw_holding_t {
    cw_holding_level_t level[CW_URGENCIES];
} cw_holding_t;

/* Records the arrival of a request with such a prompt, whether it will run or not. */
void cw_holding_asked(cw_holding_t* h, uint32_t urgency, uint32_t prompt_tokens);
/* Records that a request takes a slot. */
void cw_holding_begin(cw_holding_t* h, uint32_t urgency);
/* Records that a request releases its slot. */
void cw_holding_end(cw_holding_t* h, uint32_t urgency);
/* Records the hold time of a request that was served. That of a failed one is no sample. */
void cw_holding_learn(cw_holding_t* h, uint32_t urgency, double held_ms);
/* Mean hold time of the urgency, ms; 0: none was served yet. */
double cw_holding_ms(const cw_holding_t* h, uint32_t urgency);
/* Slots that the urgency occupies at this arrival rate once all its requests are served. */
double cw_holding_places(const cw_holding_t* h, uint32_t urgency, double rate_per_s);
/* Expected growth of the number of slots that the urgency occupies, within within_ms (0: until it settles). The part of
   the arrival rate that may be random fluctuation is subtracted. */
double cw_holding_growth(const cw_holding_t* h, uint32_t urgency, double rate_per_s, double within_ms);
/* Whether the urgency's prompts are short compared to those of the urgency with the longest ones. */
bool cw_holding_short_prompts(const cw_holding_t* h, uint32_t urgency);
/* Number of requests of urgencies from..to that occupy a slot. */
uint32_t cw_holding_running(const cw_holding_t* h, uint32_t from, uint32_t to);

#endif /* CHALKWAY_HOLDING_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_HOLDING_IMPL_INCLUDED
#define CHALKWAY_HOLDING_IMPL_INCLUDED

#include <math.h>

#define _CW_OCCUPANCY_WEIGHT 0.05 /* weight of a new sample; low, since responses differ in length by five to one */
#define _CW_OCCUPANCY_SHORT_SHARE 0.25 /* of the longest mean prompt: shorter ones are short */
/* Correction of the mean hold time while the load grows: the responses that have ended by then are the short ones, so
   the mean is too low. With otherwise equal settings, in three types of bursts with ten runs each, 1.0 and 1.4 scored
   0.554 and 0.565 on one pool of nine engines, 0.533 and 0.542 on another one; a class was starved in 5 and 5 runs on
   the one, in 7 and 9 on the other. */
#define _CW_OCCUPANCY_GROWTH_FACTOR 1.4

void cw_holding_asked(cw_holding_t* h, uint32_t urgency, uint32_t prompt_tokens) {
    double* mean = &h->level[cw_urgency_level(urgency)].prompt_tokens;
    *mean += (*mean > 0 ? _CW_OCCUPANCY_WEIGHT : 1) * (prompt_tokens - *mean);
}

void cw_holding_begin(cw_holding_t* h, uint32_t urgency) {
    h->level[cw_urgency_level(urgency)].running++;
}

void cw_holding_end(cw_holding_t* h, uint32_t urgency) {
    cw_holding_level_t* l = &h->level[cw_urgency_level(urgency)];
    l->running -= l->running > 0;
}

void cw_holding_learn(cw_holding_t* h, uint32_t urgency, double held_ms) {
    cw_holding_level_t* l = &h->level[cw_urgency_level(urgency)];
    double weight = 1.0 / (l->samples + 1);
    weight = weight > _CW_OCCUPANCY_WEIGHT ? weight : _CW_OCCUPANCY_WEIGHT;
    l->samples += l->samples < UINT32_MAX;
    l->held_ms += weight * (held_ms - l->held_ms);
}

double cw_holding_ms(const cw_holding_t* h, uint32_t urgency) {
    return h->level[cw_urgency_level(urgency)].held_ms;
}

double cw_holding_places(const cw_holding_t* h, uint32_t urgency, double rate_per_s) {
    return rate_per_s * cw_holding_ms(h, urgency) / 1000.0;
}

double cw_holding_growth(const cw_holding_t* h, uint32_t urgency, double rate_per_s, double within_ms) {
    double held_ms = cw_holding_ms(h, urgency);
    double growth = _CW_OCCUPANCY_GROWTH_FACTOR * cw_holding_places(h, urgency, rate_per_s);
    growth -= cw_holding_running(h, urgency, urgency);
    growth -= sqrt(rate_per_s) * held_ms / 1000.0; /* random fluctuation of the arrivals */
    /* Requests end at the rate 1 / held_ms, so their number approaches its final value exponentially. */
    double share = within_ms > 0 && held_ms > 0 ? 1 - exp(-within_ms / held_ms) : 1;
    return growth > 0 ? growth * share : 0;
}

bool cw_holding_short_prompts(const cw_holding_t* h, uint32_t urgency) {
    double longest = 0;
    for (uint32_t i = 0; i < CW_URGENCIES; i++) {
        longest = h->level[i].prompt_tokens > longest ? h->level[i].prompt_tokens : longest;
    }
    return h->level[cw_urgency_level(urgency)].prompt_tokens < _CW_OCCUPANCY_SHORT_SHARE * longest;
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
