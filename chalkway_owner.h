#ifndef CHALKWAY_OWNER_H
#define CHALKWAY_OWNER_H
/*
    chalkway_owner.h -- owner hosts of a server, which alone use its last free slots

    WHAT IT IS
        While a server has plenty of free slots, any host may use it. The
        last ones are used by its owner hosts only. These send each other
        their load reports for the server at once and directly, so that a few
        well-informed hosts compete for the last slots, not many with
        outdated reports. Owner hosts are the first ones for the server by
        rendezvous hashing over the live hosts: all hosts agree on them
        without communication, and few assignments change when a host joins
        or leaves. In a small fleet all hosts own all servers.

    HOW TO USE IT
            bool is_owner = cw_owner_includes(server, own_id, ids, count);
            uint32_t found = cw_owner_list_others(server, own_id, ids, count, others); // indices into ids

    WHAT IT DOES NOT DO
        It has no list of hosts (chalkway_member.h) and does not communicate.
        Hosts whose lists differ for a moment may both take the same slot.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Owner hosts of a server: enough that a host of a large fleet has engines to choose from, few enough to send reports
   to each of them directly. */
#define CW_OWNER_HOSTS 16
/* In fleets up to this size all hosts own all servers, since reports to every host cost less. */
#define CW_OWNER_SMALL_FLEET 24

/* Whether own is an owner host of the server; ids: the live hosts. In a large fleet a host that is not among them owns
   no server. */
bool cw_owner_includes(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count);
/* The server's owner hosts except own, as indices into ids; none if own is not among them. Returns their number. */
uint32_t cw_owner_list_others(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count,
                              uint32_t others[CW_OWNER_HOSTS]);

#endif /* CHALKWAY_OWNER_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_OWNER_IMPL_INCLUDED
#define CHALKWAY_OWNER_IMPL_INCLUDED

#include "chalkway_rendezvous.h"

bool cw_owner_includes(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count) {
    return count <= CW_OWNER_SMALL_FLEET || cw_rendezvous_rank(server, own, ids, count) < CW_OWNER_HOSTS;
}

/* Inserts the index into found, which is sorted by score, the highest first. Returns the new number of entries. */
static uint32_t _cw_owner_insert(uint32_t* found, uint64_t* scores, uint32_t count, uint32_t index, uint64_t score) {
    uint32_t at = count;
    while (at > 0 && scores[at - 1] < score) {
        at--;
    }
    if (at == CW_OWNER_HOSTS) {
        return count;
    }
    uint32_t last = count < CW_OWNER_HOSTS ? count : CW_OWNER_HOSTS - 1;
    for (uint32_t i = last; i > at; i--) {
        found[i] = found[i - 1];
        scores[i] = scores[i - 1];
    }
    found[at] = index;
    scores[at] = score;
    return last + 1;
}

uint32_t cw_owner_list_others(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count,
                              uint32_t others[CW_OWNER_HOSTS]) {
    uint32_t found[CW_OWNER_HOSTS];
    uint64_t scores[CW_OWNER_HOSTS];
    uint32_t owner_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        owner_count = _cw_owner_insert(found, scores, owner_count, i, cw_mix(server, ids[i]));
    }
    uint32_t others_count = 0;
    for (uint32_t i = 0; i < owner_count; i++) {
        if (ids[found[i]] != own) {
            others[others_count++] = found[i];
        }
    }
    return others_count < owner_count ? others_count : 0;
}

#endif /* CHALKWAY_OWNER_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
