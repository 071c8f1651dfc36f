#ifndef CHALKWAY_RATE_H
#define CHALKWAY_RATE_H
/*
    chalkway_rate.h -- rate limit that a server advertises for all hosts together

    WHAT IT IS
        One host's state of the advertised rate, and its share of it. A few
        owner hosts, the first ones for the server by rendezvous hashing over
        the live hosts, have equal shares of the rate; other hosts send no
        requests to the server. The sum of the shares never exceeds the rate,
        without any message between hosts. Owners start with an empty token
        bucket, so a host that takes over from another one adds nothing to
        what that one has just sent.

        Hosts that vanished without a clean stop may run on behind a network
        partition and consider themselves owners by their own list of hosts.
        Shares are therefore computed as if they were still present, so that
        both sides of the partition together stay within the rate.

        The rate is active while responses advertise it. Responses can
        overtake each other, so a response counts as newer than another one
        only if its request was sent after the other one had arrived, or if it
        arrived more than CW_RATE_RESPONSE_DELAY_MAX_MS later. A rate that no
        response has confirmed or withdrawn for CW_RATE_EXPIRY_MS expires.
        Until then, owners send a request from time to time even with a rate
        of 0, so that they notice its withdrawal.

    HOW TO USE IT
            cw_rate_t rate = {0};                               // no rate is advertised
            cw_rate_on_advertised(&rate, sent_ms, now_ms, 2.5); // a response advertises one
            cw_rate_set_hosts(&rate, now_ms, &hosts);           // after any change of the rate or the hosts
            if (!cw_rate_wait_ms(&rate, now_ms)) {
                cw_rate_on_send(&rate, now_ms);                 // and send
            }
            cw_rate_on_withdrawn(&rate, sent_ms, now_ms);       // a response advertises none

    WHAT IT DOES NOT DO
        It does not communicate: observations of other hosts are passed in
        with cw_rate_on_peer. Hosts whose lists of hosts differ for a moment
        may both consider themselves owners; the sum of their shares is
        bounded by twice the rate.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_limit.h"
#include "chalkway_rendezvous.h"

#define CW_RATE_RESPONSE_DELAY_MAX_MS 500 /* assumed longest transit time of a response's head */
#define CW_RATE_EXPIRY_MS 30000           /* a rate expires when no response has mentioned it for this time */
#define CW_RATE_NEVER UINT32_MAX

typedef enum cw_rate_state_t {
    CW_RATE_UNKNOWN = 0, /* no response has advertised a rate */
    CW_RATE_ADVERTISED,
    CW_RATE_WITHDRAWN, /* responses no longer advertise it */
    CW_RATE_STATE_COUNT
} cw_rate_state_t;

/* State of a server's rate as observed in a response. */
typedef struct cw_rate_observation_t {
    cw_rate_state_t state;
    double per_s; /* requests per second, of all hosts together */
    /* Time of the observation: the latest one at which the server can have advertised the rate, or the earliest one
       from which it certainly no longer did. */
    int64_t at_ms;
} cw_rate_observation_t;

/* The hosts that share a server's rate. */
typedef struct cw_rate_hosts_t {
    uint64_t server;
    uint64_t own;
    const uint64_t* ids; /* live hosts, own among them */
    uint32_t count;      /* 0: this host is alone */
    uint32_t missing;    /* other hosts that may run on behind a network partition */
} cw_rate_hosts_t;

/* All zero: no rate is advertised. */
typedef struct cw_rate_t {
    cw_rate_observation_t observation; /* the active one, whichever host observed it */
    cw_rate_observation_t own;         /* the last one from a response to this host */
    int64_t advertised_ms, withdrawn_ms;
    uint32_t owner_count;
    bool is_owner; /* this host is one of the owners */
    cw_bucket_t share_bucket;
} cw_rate_t;

/* Records a response that has just arrived and advertises a rate, or none; its request was sent at sent_ms. True: the
   active rate changed. */
bool cw_rate_on_advertised(cw_rate_t* r, int64_t sent_ms, int64_t now_ms, double per_s);
bool cw_rate_on_withdrawn(cw_rate_t* r, int64_t sent_ms, int64_t now_ms);
/* Records the observation of another host; propagation_ms: longest time that it was in transit. True: the active rate
   changed. */
bool cw_rate_on_peer(cw_rate_t* r, const cw_rate_observation_t* observation, uint32_t propagation_ms);
/* Whether a rate is active. */
bool cw_rate_is_active(const cw_rate_t* r, int64_t now_ms);
/* Observation that this host has to send to its peers; CW_RATE_UNKNOWN when a peer has sent a newer one or its own has
   expired. */
cw_rate_observation_t cw_rate_to_send(const cw_rate_t* r, int64_t now_ms);
/* Recomputes this host's share. */
void cw_rate_set_hosts(cw_rate_t* r, int64_t now_ms, const cw_rate_hosts_t* hosts);
/* Time until this host may send a request to the server; 0: now, CW_RATE_NEVER: not while other hosts own the rate. */
uint32_t cw_rate_wait_ms(const cw_rate_t* r, int64_t now_ms);
/* Records that a request is sent to the server. */
void cw_rate_on_send(cw_rate_t* r, int64_t now_ms);

#endif /* CHALKWAY_RATE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_RATE_IMPL_INCLUDED
#define CHALKWAY_RATE_IMPL_INCLUDED

#include <math.h>

#define _CW_RATE_OWNER_PER_S 2.0 /* share of one owner: small enough that its own callers can use it up */
#define _CW_RATE_BURST 2.0
#define _CW_RATE_REDUNDANT_MS 1000 /* a peer's observation newer by more than this makes the own one redundant */
#define _CW_RATE_MIN_PER_S 0.1     /* least rate that is used, so that owners notice the withdrawal of a lower one */

/* The earliest time at which the server can have written the head of a response that arrives now. */
static int64_t _cw_rate_earliest_ms(int64_t sent_ms, int64_t now_ms) {
    int64_t delayed_ms = now_ms - CW_RATE_RESPONSE_DELAY_MAX_MS;
    return sent_ms > delayed_ms ? sent_ms : delayed_ms;
}

bool cw_rate_is_active(const cw_rate_t* r, int64_t now_ms) {
    return r->observation.state == CW_RATE_ADVERTISED && now_ms - r->advertised_ms <= CW_RATE_EXPIRY_MS;
}

/* Applies a rate that was advertised between from_ms and until_ms. If it may be older than the active rate, the lower
   one of the two is used. */
static bool _cw_rate_apply_advertised(cw_rate_t* r, int64_t from_ms, int64_t until_ms, double per_s) {
    if (until_ms <= r->withdrawn_ms) {
        return false;
    }
    bool was_active = cw_rate_is_active(r, until_ms);
    bool is_newer = !was_active || from_ms > r->advertised_ms;
    double active_per_s = is_newer || per_s < r->observation.per_s ? per_s : r->observation.per_s;
    bool changed = !was_active || active_per_s != r->observation.per_s;
    r->advertised_ms = until_ms > r->advertised_ms ? until_ms : r->advertised_ms;
    r->observation =
        (cw_rate_observation_t){.state = CW_RATE_ADVERTISED, .per_s = active_per_s, .at_ms = r->advertised_ms};
    return changed;
}

static bool _cw_rate_apply_withdrawn(cw_rate_t* r, int64_t from_ms) {
    if (from_ms <= r->advertised_ms || from_ms <= r->withdrawn_ms) {
        return false;
    }
    bool changed = r->observation.state == CW_RATE_ADVERTISED;
    r->withdrawn_ms = from_ms;
    r->observation = (cw_rate_observation_t){.state = CW_RATE_WITHDRAWN, .at_ms = from_ms};
    return changed;
}

bool cw_rate_on_advertised(cw_rate_t* r, int64_t sent_ms, int64_t now_ms, double per_s) {
    bool changed = _cw_rate_apply_advertised(r, _cw_rate_earliest_ms(sent_ms, now_ms), now_ms, per_s);
    r->own = (cw_rate_observation_t){.state = CW_RATE_ADVERTISED, .per_s = r->observation.per_s, .at_ms = now_ms};
    return changed;
}

bool cw_rate_on_withdrawn(cw_rate_t* r, int64_t sent_ms, int64_t now_ms) {
    int64_t from_ms = _cw_rate_earliest_ms(sent_ms, now_ms);
    if (!r->advertised_ms) {
        return false;
    }
    bool changed = _cw_rate_apply_withdrawn(r, from_ms);
    if (r->observation.state == CW_RATE_WITHDRAWN) {
        r->own = r->observation;
    }
    return changed;
}

bool cw_rate_on_peer(cw_rate_t* r, const cw_rate_observation_t* observation, uint32_t propagation_ms) {
    if (observation->state == CW_RATE_UNKNOWN) {
        return false;
    }
    return observation->state == CW_RATE_ADVERTISED
               ? _cw_rate_apply_advertised(r, observation->at_ms - CW_RATE_RESPONSE_DELAY_MAX_MS, observation->at_ms,
                                           observation->per_s)
               : _cw_rate_apply_withdrawn(r, observation->at_ms - propagation_ms);
}

cw_rate_observation_t cw_rate_to_send(const cw_rate_t* r, int64_t now_ms) {
    bool is_newest = r->own.at_ms + _CW_RATE_REDUNDANT_MS >= r->observation.at_ms;
    bool is_current = r->own.state != CW_RATE_UNKNOWN && is_newest && now_ms - r->own.at_ms <= CW_RATE_EXPIRY_MS;
    return is_current ? r->own : (cw_rate_observation_t){0};
}

void cw_rate_set_hosts(cw_rate_t* r, int64_t now_ms, const cw_rate_hosts_t* hosts) {
    if (r->observation.state != CW_RATE_ADVERTISED) {
        return;
    }
    double per_s = r->observation.per_s > _CW_RATE_MIN_PER_S ? r->observation.per_s : _CW_RATE_MIN_PER_S;
    uint32_t count = hosts->count ? hosts->count : 1;
    double owners_needed = ceil(per_s / _CW_RATE_OWNER_PER_S);
    bool was_owner = r->is_owner;
    r->owner_count = owners_needed < count ? (uint32_t)owners_needed : count;
    r->is_owner = !hosts->count || cw_rendezvous_rank(hosts->server, hosts->own, hosts->ids, count) < r->owner_count;
    if (!was_owner) {
        r->share_bucket = (cw_bucket_t){.started = true, .at_ms = now_ms};
    }
    double live_share = (double)count / (count + hosts->missing);
    cw_bucket_set_rate(&r->share_bucket, now_ms, per_s * live_share / r->owner_count, _CW_RATE_BURST);
}

uint32_t cw_rate_wait_ms(const cw_rate_t* r, int64_t now_ms) {
    if (!cw_rate_is_active(r, now_ms)) {
        return 0;
    }
    return r->is_owner ? cw_bucket_wait_ms(&r->share_bucket, now_ms, 1) : CW_RATE_NEVER;
}

void cw_rate_on_send(cw_rate_t* r, int64_t now_ms) {
    if (cw_rate_is_active(r, now_ms) && r->is_owner) {
        cw_bucket_take(&r->share_bucket, now_ms, 1);
    }
}

#endif /* CHALKWAY_RATE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
