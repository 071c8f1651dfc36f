#ifndef CHALKWAY_CONTENTION_H
#define CHALKWAY_CONTENTION_H
/*
    chalkway_contention.h -- many hosts choose at once, each knowing little of the others

    WHAT IT IS
        News of what a host sent somewhere takes a while to reach the others.
        All requests that are placed meanwhile see the same free places, and
        when places are few they would all take the same one. This estimates
        how many hosts choose within the time that news takes, from the
        host's own requests and the number of hosts, and lets a host use a
        server with few free places only now and then, by chance, so that
        about as many come as there is room for. While places are many, or
        hosts few, it lets everything pass.

        Only requests that are as urgent or more so are rivals: those that
        can wait do not keep urgent ones from a place.

    HOW TO USE IT
            cw_contention_t c = {.seed = host};
            cw_contention_asked(&c, now_ms, urgency);          // for each new request
            cw_contention_waiting(&c, now_ms, urgency, count); // when the queue changed
            cw_contention_use_t use = {.server = server, .free_places = free, .urgency = urgency,
                                       .hosts = hosts, .delay_ms = delay_ms};
            if (cw_contention_open(&c, now_ms, &use)) { ... }

    WHAT IT DOES NOT DO
        It hears nobody: the others are taken to be as busy as this host.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* This host's requests of one urgency. */
typedef struct cw_contention_level_t {
    double rate;     /* a second, learned */
    int64_t rate_ms; /* when it was learned */
    double waiting;  /* without a place, smoothed */
    uint32_t waiting_now;
    int64_t waiting_ms;
} cw_contention_level_t;

/* All zero: nothing was asked. */
typedef struct cw_contention_t {
    uint64_t seed; /* own host */
    cw_contention_level_t level[CW_URGENCIES];
} cw_contention_t;

/* What is sought, and who else may take it. */
typedef struct cw_contention_use_t {
    uint64_t server;
    double free_places; /* believed to be free there */
    uint32_t urgency;   /* of the request */
    uint32_t hosts;     /* that may use these places, this one among them */
    uint32_t delay_ms;  /* until news of a request has reached them, 0: at once */
} cw_contention_use_t;

/* A new request came. */
void cw_contention_asked(cw_contention_t* c, int64_t now_ms, uint32_t urgency);
/* So many requests of this host and urgency wait for a place from now on. */
void cw_contention_waiting(cw_contention_t* c, int64_t now_ms, uint32_t urgency, uint32_t count);
/* This host's requests of the urgency a second. */
double cw_contention_rate(const cw_contention_t* c, int64_t now_ms, uint32_t urgency);
/* Hosts that place a request as urgent within the time that news takes, this one among them. */
double cw_contention_rivals(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use);
/* Whether this host may use the server now. The answer stays the same until news of others can have come. */
bool cw_contention_open(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use);

#endif /* CHALKWAY_CONTENTION_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_CONTENTION_IMPL_INCLUDED
#define CHALKWAY_CONTENTION_IMPL_INCLUDED

#include <math.h>

#define _CW_CONTENTION_RATE_MS 1000.0   /* in which the rate follows */
#define _CW_CONTENTION_WAITING_MS 300.0 /* in which the waiting ones are smoothed */
#define _CW_CONTENTION_TAKERS 1.0       /* hosts admitted for each free place: some of them choose another server */

static double _cw_contention_level_rate(const cw_contention_level_t* l, int64_t now_ms) {
    return l->rate * exp(-(double)(now_ms - l->rate_ms) / _CW_CONTENTION_RATE_MS);
}

static double _cw_contention_smoothed(const cw_contention_level_t* l, int64_t now_ms) {
    double kept = exp(-(double)(now_ms - l->waiting_ms) / _CW_CONTENTION_WAITING_MS);
    return l->waiting_now + (l->waiting - l->waiting_now) * kept;
}

static cw_contention_level_t* _cw_contention_level(cw_contention_t* c, uint32_t urgency) {
    return &c->level[cw_urgency_level(urgency)];
}

void cw_contention_asked(cw_contention_t* c, int64_t now_ms, uint32_t urgency) {
    cw_contention_level_t* l = _cw_contention_level(c, urgency);
    l->rate = _cw_contention_level_rate(l, now_ms) + 1000.0 / _CW_CONTENTION_RATE_MS;
    l->rate_ms = now_ms;
}

void cw_contention_waiting(cw_contention_t* c, int64_t now_ms, uint32_t urgency, uint32_t count) {
    cw_contention_level_t* l = _cw_contention_level(c, urgency);
    l->waiting = _cw_contention_smoothed(l, now_ms);
    l->waiting_now = count;
    l->waiting_ms = now_ms;
}

double cw_contention_rate(const cw_contention_t* c, int64_t now_ms, uint32_t urgency) {
    return _cw_contention_level_rate(&c->level[cw_urgency_level(urgency)], now_ms);
}

double cw_contention_rivals(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use) {
    double placed = 0;
    for (uint32_t i = 0; i < CW_URGENCIES && i <= use->urgency; i++) {
        placed += _cw_contention_level_rate(&c->level[i], now_ms) * use->delay_ms / 1000.0;
        placed += _cw_contention_smoothed(&c->level[i], now_ms);
    }
    return use->hosts * (1 - exp(-placed)); /* a host places none with the chance exp(-placed) */
}

bool cw_contention_open(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use) {
    double rivals = use->delay_ms ? cw_contention_rivals(c, now_ms, use) : 0;
    double admitted = _CW_CONTENTION_TAKERS * use->free_places;
    if (rivals <= admitted) {
        return true;
    }
    uint64_t epoch = (uint64_t)(now_ms / use->delay_ms);
    double chance = (double)(cw_mix(cw_mix(c->seed, use->server), epoch) >> 11) / 9007199254740992.0; /* 0..1 */
    return chance < admitted / rivals;
}

#endif /* CHALKWAY_CONTENTION_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
