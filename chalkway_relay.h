#ifndef CHALKWAY_RELAY_H
#define CHALKWAY_RELAY_H
/*
    chalkway_relay.h -- which hosts forward load reports, and how often, by the
    size of the fleet

    WHAT IT IS
        In a small fleet a host sends each update at once to every host of
        its hall and to one host of each other hall, which forwards it there.
        That costs a datagram per update and pair of hosts. In a larger fleet,
        therefore, a few hosts of each hall are its relays: the others send
        their updates to one of them. A relay batches updates for a short time
        and then sends the batch in one datagram to its hall and to one relay
        of each other hall. The number of datagrams that a host receives then
        depends on the batching time, not on the number of hosts.

        A small fleet uses the same mechanism with other parameters: every
        host is a relay, so it sends its own updates, and nothing is batched.

        All hosts rank the hosts of a hall alike, the widest link first, since
        a relay sends the copies for its whole hall. The first ones in this
        order are the relays: as many as are needed to carry the copies, and
        at least two.

    HOW TO USE IT
            cw_relay_plan_t plan = cw_relay_plan(live);
            sort the hosts of a hall by cw_relay_ranks_before;
            uint32_t relays = cw_relay_count(&plan, links, count); // the first ones
            uint32_t i = cw_relay_choose(ids, relays, &plan, own_id, random); // relay to send to

    WHAT IT DOES NOT DO
        No sockets, no list of hosts (chalkway_member.h), no messages
        (chalkway_load.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_member.h"

/* Parameters of forwarding. */
typedef struct cw_relay_plan_t {
    bool is_full_mesh;              /* every host is a relay: it sends its own updates itself */
    uint32_t batch_ms;              /* time for which a relay batches updates, 0: it forwards each at once */
    uint32_t propagation_ms;        /* time until an update has reached all hosts, without loss */
    uint32_t direct_propagation_ms; /* time until an update sent directly to each host has reached them all */
    uint32_t resend_ms;             /* interval at which unchanged state is sent again, since datagrams get lost */
} cw_relay_plan_t;

/* Plan for a fleet with this number of live hosts. */
cw_relay_plan_t cw_relay_plan(uint32_t live);
/* Whether a ranks before b in the order common to all hosts. */
bool cw_relay_ranks_before(const cw_member_info_t* a, const cw_member_info_t* b);
/* Number of relays of a hall, which are the first of its hosts in that order. link_mbps: bandwidths of the links of the
   hall's count hosts, in that order. */
uint32_t cw_relay_count(const cw_relay_plan_t* plan, const uint32_t* link_mbps, uint32_t count);
/* Index of the relay of a hall to which this host sends. relays: ids of the hall's relays, in that order; count is not
   0. While relays batch, the result is the same until the hosts change, so that this host's updates stay in order.
   Otherwise it is random, so that a lost relay loses only some of the updates. */
uint32_t cw_relay_choose(const uint64_t* relays, uint32_t count, const cw_relay_plan_t* plan, uint64_t own,
                         uint64_t random);

#endif /* CHALKWAY_RELAY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_RELAY_IMPL_INCLUDED
#define CHALKWAY_RELAY_IMPL_INCLUDED

#include <assert.h>

#include "chalkway_rendezvous.h"

/* Largest fleet in which all hosts are relays: sending to each host costs less there than the batching delay. */
#define _CW_RELAY_FULL_MESH_MAX 16
#define _CW_RELAY_MIN_COUNT 2        /* relays of a hall in a larger fleet: losing one loses half of the updates */
#define _CW_RELAY_EQUAL_LINK_COUNT 3 /* relays of a hall, at least, where its widest links are equal */
/* Bandwidth that a hall's relays need for each host of the hall; the copies use a third of it. */
#define _CW_RELAY_MBPS_PER_HOST 3
#define _CW_RELAY_DEFAULT_LINK_MBPS 1000 /* assumed where a host's link is unknown */
#define _CW_RELAY_HOSTS_PER_BATCH_MS 16  /* hosts per ms of batching */
#define _CW_RELAY_BATCH_MIN_MS 4
#define _CW_RELAY_BATCH_MAX_MS 25 /* an older report no longer shows which prompt an engine is prefilling */
#define _CW_RELAY_DATAGRAM_MS 2   /* delay of a datagram within a region, including the event loop that reads it */
#define _CW_RELAY_RESEND_MS 400
#define _CW_RELAY_RESEND_MAX_MS 700 /* a load report is valid for 1500 ms, which leaves time for two resends */

static uint32_t _cw_relay_clamp(uint32_t value, uint32_t low, uint32_t high) {
    if (value < low) {
        return low;
    }
    return value > high ? high : value;
}

cw_relay_plan_t cw_relay_plan(uint32_t live) {
    if (live <= _CW_RELAY_FULL_MESH_MAX) {
        return (cw_relay_plan_t){.is_full_mesh = true,
                                 .propagation_ms = _CW_RELAY_DATAGRAM_MS,
                                 .direct_propagation_ms = _CW_RELAY_DATAGRAM_MS,
                                 .resend_ms = _CW_RELAY_RESEND_MS};
    }
    uint32_t batch_ms =
        _cw_relay_clamp(live / _CW_RELAY_HOSTS_PER_BATCH_MS, _CW_RELAY_BATCH_MIN_MS, _CW_RELAY_BATCH_MAX_MS);
    return (cw_relay_plan_t){
        .batch_ms = batch_ms,
        /* An update is batched by a relay of the sender's hall and by one of the receiver's hall. */
        .propagation_ms = 2 * batch_ms + _CW_RELAY_DATAGRAM_MS,
        .direct_propagation_ms = 2 * _CW_RELAY_DATAGRAM_MS, /* the sender briefly waits for further updates */
        .resend_ms = _cw_relay_clamp(_CW_RELAY_RESEND_MS + live, _CW_RELAY_RESEND_MS, _CW_RELAY_RESEND_MAX_MS)};
}

bool cw_relay_ranks_before(const cw_member_info_t* a, const cw_member_info_t* b) {
    if (a->link_mbps != b->link_mbps) {
        return a->link_mbps > b->link_mbps;
    }
    return cw_mix(a->id, 1) < cw_mix(b->id, 1);
}

uint32_t cw_relay_count(const cw_relay_plan_t* plan, const uint32_t* link_mbps, uint32_t count) {
    if (plan->is_full_mesh) {
        return count;
    }
    uint64_t needed_mbps = (uint64_t)count * _CW_RELAY_MBPS_PER_HOST;
    uint64_t available_mbps = 0;
    for (uint32_t i = 0; i < count; i++) {
        bool is_enough = available_mbps >= needed_mbps && i >= _CW_RELAY_MIN_COUNT;
        bool is_equally_wide = link_mbps[i] == link_mbps[0] && i < _CW_RELAY_EQUAL_LINK_COUNT;
        if (is_enough && !is_equally_wide) {
            return i;
        }
        available_mbps += link_mbps[i] ? link_mbps[i] : _CW_RELAY_DEFAULT_LINK_MBPS;
    }
    return count;
}

uint32_t cw_relay_choose(const uint64_t* relays, uint32_t count, const cw_relay_plan_t* plan, uint64_t own,
                         uint64_t random) {
    assert(count);
    if (!plan->batch_ms) {
        return (uint32_t)(random % count);
    }
    uint64_t chosen = cw_rendezvous_owner(own, relays, count);
    for (uint32_t i = 0; i < count; i++) {
        if (relays[i] == chosen) {
            return i;
        }
    }
    return 0;
}

#endif /* CHALKWAY_RELAY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
