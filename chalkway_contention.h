#ifndef CHALKWAY_CONTENTION_H
#define CHALKWAY_CONTENTION_H
/*
    chalkway_contention.h -- randomized access of many hosts to the same free slots

    WHAT IT IS
        The load report of a host takes some time to reach the others. All
        hosts that place a request meanwhile see the same free slots, and
        when few slots are free they would all take the same one. This module
        estimates how many hosts place a request within the propagation time,
        from this host's own requests and the number of hosts. It lets a host
        use a server with few free slots only in random time slices, so that
        about as many hosts use it as it has free slots. While many slots are
        free, or hosts are few, it restricts nothing.

        Only requests that are at least as urgent count as contenders, so
        less urgent requests do not keep urgent ones from a slot.

    HOW TO USE IT
            cw_contention_t c = {.seed = host};
            cw_contention_on_request(&c, now_ms, urgency);          // for each new request
            cw_contention_set_waiting(&c, now_ms, urgency, count); // when the queue changed
            cw_contention_use_t use = {.server = server, .free_slots = free, .urgency = urgency,
                                       .hosts = hosts, .delay_ms = delay_ms};
            if (cw_contention_may_use(&c, now_ms, &use)) { ... }

    WHAT IT DOES NOT DO
        It receives nothing from other hosts: they are assumed to be as busy
        as this one.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* This host's requests of one urgency. */
typedef struct cw_contention_level_t {
    double rate;     /* arrivals per second, a moving mean */
    int64_t rate_ms; /* time of the last update of rate */
    double waiting;  /* requests that wait for a slot, smoothed */
    uint32_t waiting_now;
    int64_t waiting_ms; /* time of the last update of waiting and waiting_now */
} cw_contention_level_t;

/* All zero: no requests yet. */
typedef struct cw_contention_t {
    uint64_t seed; /* id of the own host */
    cw_contention_level_t level[CW_URGENCY_LEVELS];
} cw_contention_t;

/* A server that this host may choose for a request, and the hosts that compete for its slots. */
typedef struct cw_contention_use_t {
    uint64_t server;
    double free_slots; /* free slots of the server, as far as known */
    uint32_t urgency;  /* of the request */
    uint32_t hosts;    /* hosts that may use these slots, this one among them */
    uint32_t delay_ms; /* time until a load report has reached these hosts, 0: at once */
} cw_contention_use_t;

/* Whether any request of this host waits for a slot. */
bool cw_contention_has_waiting(const cw_contention_t* c);
/* Counts a new request. */
void cw_contention_on_request(cw_contention_t* c, int64_t now_ms, uint32_t urgency);
/* Sets the number of this host's requests of the urgency that wait for a slot. */
void cw_contention_set_waiting(cw_contention_t* c, int64_t now_ms, uint32_t urgency, uint32_t count);
/* Arrival rate of this host's requests of the urgency, per second. */
double cw_contention_rate_per_s(const cw_contention_t* c, int64_t now_ms, uint32_t urgency);
/* Expected number of hosts that place a request at least as urgent within the propagation time, this one among them. */
double cw_contention_contenders(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use);
/* Whether this host may use the server now. The result does not change within a time slice of delay_ms, since no new
   load reports can arrive in it. */
bool cw_contention_may_use(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use);

#endif /* CHALKWAY_CONTENTION_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_CONTENTION_IMPL_INCLUDED
#define CHALKWAY_CONTENTION_IMPL_INCLUDED

#include <math.h>

#define _CW_CONTENTION_RATE_MS 1000.0     /* time constant of the arrival rate */
#define _CW_CONTENTION_WAITING_MS 300.0   /* time constant of the number of waiting requests */
#define _CW_CONTENTION_HOSTS_PER_SLOT 1.0 /* hosts admitted for each free slot; some of them choose another server */

static double _cw_contention_decayed_rate(const cw_contention_level_t* l, int64_t now_ms) {
    return l->rate * exp(-(double)(now_ms - l->rate_ms) / _CW_CONTENTION_RATE_MS);
}

static double _cw_contention_smoothed_waiting(const cw_contention_level_t* l, int64_t now_ms) {
    double decay = exp(-(double)(now_ms - l->waiting_ms) / _CW_CONTENTION_WAITING_MS);
    return l->waiting_now + (l->waiting - l->waiting_now) * decay;
}

static cw_contention_level_t* _cw_contention_level(cw_contention_t* c, uint32_t urgency) {
    return &c->level[cw_urgency_level(urgency)];
}

void cw_contention_on_request(cw_contention_t* c, int64_t now_ms, uint32_t urgency) {
    cw_contention_level_t* l = _cw_contention_level(c, urgency);
    l->rate = _cw_contention_decayed_rate(l, now_ms) + 1000.0 / _CW_CONTENTION_RATE_MS;
    l->rate_ms = now_ms;
}

bool cw_contention_has_waiting(const cw_contention_t* c) {
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS; i++) {
        if (c->level[i].waiting_now) {
            return true;
        }
    }
    return false;
}

void cw_contention_set_waiting(cw_contention_t* c, int64_t now_ms, uint32_t urgency, uint32_t count) {
    cw_contention_level_t* l = _cw_contention_level(c, urgency);
    l->waiting = _cw_contention_smoothed_waiting(l, now_ms);
    l->waiting_now = count;
    l->waiting_ms = now_ms;
}

double cw_contention_rate_per_s(const cw_contention_t* c, int64_t now_ms, uint32_t urgency) {
    return _cw_contention_decayed_rate(&c->level[cw_urgency_level(urgency)], now_ms);
}

double cw_contention_contenders(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use) {
    double placed = 0;
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS && i <= use->urgency; i++) {
        placed += _cw_contention_decayed_rate(&c->level[i], now_ms) * use->delay_ms / 1000.0;
        placed += _cw_contention_smoothed_waiting(&c->level[i], now_ms);
    }
    return use->hosts * (1 - exp(-placed)); /* exp(-placed): probability that a host places none */
}

bool cw_contention_may_use(const cw_contention_t* c, int64_t now_ms, const cw_contention_use_t* use) {
    double contenders = use->delay_ms ? cw_contention_contenders(c, now_ms, use) : 0;
    double admitted = _CW_CONTENTION_HOSTS_PER_SLOT * use->free_slots;
    if (contenders <= admitted) {
        return true;
    }
    uint64_t slice = (uint64_t)(now_ms / use->delay_ms);
    double draw = (double)(cw_mix(cw_mix(c->seed, use->server), slice) >> 11) / 9007199254740992.0; /* 0..1 */
    return draw < admitted / contenders;
}

#endif /* CHALKWAY_CONTENTION_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
