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

    HOW TO USE IT
            cw_contention_t c = {.seed = host};
            cw_contention_set_fleet(&c, hosts, delay_ms);
            cw_contention_asked(&c, now_ms);           // for each new request
            cw_contention_waiting(&c, now_ms, count);  // when the queue changed
            if (cw_contention_open(&c, now_ms, server, free_places)) { ... }

    WHAT IT DOES NOT DO
        It hears nobody: the others are taken to be as busy as this host.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* All zero: one host, no news to wait for. */
typedef struct cw_contention_t {
    uint64_t seed;     /* own host */
    uint32_t hosts;    /* that live */
    uint32_t delay_ms; /* until news of a request has reached all */
    double rate;       /* own requests a second, learned */
    int64_t rate_ms;   /* when it was learned */
    double waiting;    /* own requests without a place, smoothed */
    uint32_t waiting_now;
    int64_t waiting_ms;
} cw_contention_t;

void cw_contention_set_fleet(cw_contention_t* c, uint32_t hosts, uint32_t delay_ms);
/* A new request came. */
void cw_contention_asked(cw_contention_t* c, int64_t now_ms);
/* So many requests of this host wait for a place from now on. */
void cw_contention_waiting(cw_contention_t* c, int64_t now_ms, uint32_t count);
/* Hosts that place a request within the time that news takes, this one among them. */
double cw_contention_rivals(const cw_contention_t* c, int64_t now_ms);
/* Whether this host may use the server now, which is believed to have so many free places. The answer stays the same
   until news of others can have come. */
bool cw_contention_open(const cw_contention_t* c, int64_t now_ms, uint64_t server, double free_places);

#endif /* CHALKWAY_CONTENTION_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_CONTENTION_IMPL_INCLUDED
#define CHALKWAY_CONTENTION_IMPL_INCLUDED

#include <math.h>

#define _CW_CONTENTION_RATE_MS 1000.0   /* in which the rate follows */
#define _CW_CONTENTION_WAITING_MS 300.0 /* in which the waiting ones are smoothed */
#define _CW_CONTENTION_TAKERS 1.0       /* hosts admitted for each free place: some of them choose another server */

void cw_contention_set_fleet(cw_contention_t* c, uint32_t hosts, uint32_t delay_ms) {
    c->hosts = hosts;
    c->delay_ms = delay_ms;
}

static double _cw_contention_rate(const cw_contention_t* c, int64_t now_ms) {
    return c->rate * exp(-(double)(now_ms - c->rate_ms) / _CW_CONTENTION_RATE_MS);
}

static double _cw_contention_smoothed(const cw_contention_t* c, int64_t now_ms) {
    double kept = exp(-(double)(now_ms - c->waiting_ms) / _CW_CONTENTION_WAITING_MS);
    return c->waiting_now + (c->waiting - c->waiting_now) * kept;
}

void cw_contention_asked(cw_contention_t* c, int64_t now_ms) {
    c->rate = _cw_contention_rate(c, now_ms) + 1000.0 / _CW_CONTENTION_RATE_MS;
    c->rate_ms = now_ms;
}

void cw_contention_waiting(cw_contention_t* c, int64_t now_ms, uint32_t count) {
    c->waiting = _cw_contention_smoothed(c, now_ms);
    c->waiting_now = count;
    c->waiting_ms = now_ms;
}

double cw_contention_rivals(const cw_contention_t* c, int64_t now_ms) {
    double placed = _cw_contention_rate(c, now_ms) * c->delay_ms / 1000.0 + _cw_contention_smoothed(c, now_ms);
    return c->hosts * (1 - exp(-placed)); /* a host places none with the chance exp(-placed) */
}

bool cw_contention_open(const cw_contention_t* c, int64_t now_ms, uint64_t server, double free_places) {
    double rivals = c->delay_ms ? cw_contention_rivals(c, now_ms) : 0;
    double admitted = _CW_CONTENTION_TAKERS * free_places;
    if (rivals <= admitted) {
        return true;
    }
    uint64_t epoch = (uint64_t)(now_ms / c->delay_ms);
    double chance = (double)(cw_mix(cw_mix(c->seed, server), epoch) >> 11) / 9007199254740992.0; /* 0..1 */
    return chance < admitted / rivals;
}

#endif /* CHALKWAY_CONTENTION_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
