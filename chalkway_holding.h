#ifndef CHALKWAY_HOLDING_H
#define CHALKWAY_HOLDING_H
/*
    chalkway_holding.h -- for how long work of each urgency holds a place

    WHAT IT IS
        One host's runs at a pool by urgency: how many hold a place now, how
        long those that were served held theirs, and how long the prompts of
        all that were asked for are, as moving means. The rate at which an
        urgency is asked for, times the time for which it holds a place, is
        the number of places that it takes once all of it is served (Little's
        law). How far it gets there within some time tells which places other
        work had better leave free.

    HOW TO USE IT
            cw_holding_t h = {0};
            cw_holding_begin(&h, urgency);
            cw_holding_learn(&h, urgency, held_ms); // it was served
            cw_holding_end(&h, urgency);
            double places = cw_holding_places(&h, urgency, rate_per_s);
            double more = cw_holding_growth(&h, urgency, rate_per_s, within_ms);

    WHAT IT DOES NOT DO
        It knows no servers and no other hosts.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_holding_level_t {
    uint32_t running;
    uint32_t samples;
    double held_ms;       /* learned, 0: none was served yet */
    double prompt_tokens; /* learned, of all that were asked for */
} cw_holding_level_t;

/* All zero: nothing ran. */
typedef struct cw_holding_t {
    cw_holding_level_t level[CW_URGENCIES];
} cw_holding_t;

/* Work of the urgency with such a prompt was asked for, whether it will run or not. */
void cw_holding_asked(cw_holding_t* h, uint32_t urgency, uint32_t prompt_tokens);
void cw_holding_begin(cw_holding_t* h, uint32_t urgency);
/* A run that was begun is over. */
void cw_holding_end(cw_holding_t* h, uint32_t urgency);
/* A run held its place for held_ms until it was served: one that broke off says nothing. */
void cw_holding_learn(cw_holding_t* h, uint32_t urgency, double held_ms);
/* Mean time, ms, for which the urgency holds a place; 0: none was served yet. */
double cw_holding_ms(const cw_holding_t* h, uint32_t urgency);
/* Places that the urgency takes where all of it is served, so many coming a second. */
double cw_holding_places(const cw_holding_t* h, uint32_t urgency, double rate_per_s);
/* Places beyond those that it holds now that the urgency takes within so long, as far as what came in the last second
   says more than chance; within_ms 0: in the end. */
double cw_holding_growth(const cw_holding_t* h, uint32_t urgency, double rate_per_s, double within_ms);
/* Whether the urgency's prompts are short beside those of the urgency that has the longest. */
bool cw_holding_short_prompts(const cw_holding_t* h, uint32_t urgency);
/* Runs of urgencies from..to. */
uint32_t cw_holding_running(const cw_holding_t* h, uint32_t from, uint32_t to);

#endif /* CHALKWAY_HOLDING_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_HOLDING_IMPL_INCLUDED
#define CHALKWAY_HOLDING_IMPL_INCLUDED

#include <math.h>

#define _CW_HOLDING_LEARN 0.05 /* weight of a new sample: answers differ in length by five to one */
#define _CW_HOLDING_SHORT 0.25 /* of the longest mean prompt: shorter ones are short */
/* Times what was held so far that a place will be held while more and more comes: the answers that have ended by then
   are the short ones. With all else alike, 1.0 and 1.4 in three kinds of bursts, ten each: worth 0.554 and 0.565 on one
   pool of nine engines, 0.533 and 0.542 on another; a kind was starved in 5 and 5 there, in 7 and 9 here. */
#define _CW_HOLDING_LONGER 1.4

void cw_holding_asked(cw_holding_t* h, uint32_t urgency, uint32_t prompt_tokens) {
    double* mean = &h->level[cw_urgency_level(urgency)].prompt_tokens;
    *mean += (*mean > 0 ? _CW_HOLDING_LEARN : 1) * (prompt_tokens - *mean);
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
    weight = weight > _CW_HOLDING_LEARN ? weight : _CW_HOLDING_LEARN;
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
    double more = _CW_HOLDING_LONGER * cw_holding_places(h, urgency, rate_per_s);
    more -= cw_holding_running(h, urgency, urgency);
    more -= sqrt(rate_per_s) * held_ms / 1000.0; /* that much more may have come by chance */
    /* What runs ends at the rate 1 / held_ms, so the number of runs nears its end exponentially. */
    double reached = within_ms > 0 && held_ms > 0 ? 1 - exp(-within_ms / held_ms) : 1;
    return more > 0 ? more * reached : 0;
}

bool cw_holding_short_prompts(const cw_holding_t* h, uint32_t urgency) {
    double longest = 0;
    for (uint32_t i = 0; i < CW_URGENCIES; i++) {
        longest = h->level[i].prompt_tokens > longest ? h->level[i].prompt_tokens : longest;
    }
    return h->level[cw_urgency_level(urgency)].prompt_tokens < _CW_HOLDING_SHORT * longest;
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
