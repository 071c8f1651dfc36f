#ifndef CHALKWAY_HOME_H
#define CHALKWAY_HOME_H
/*
    chalkway_home.h -- the last free places of a server belong to a few hosts

    WHAT IT IS
        While a server has plenty of free places, any host may use it. The
        last ones are used by its home hosts only, which tell each other at
        once and directly what they have there, so that few hosts that know
        much choose, and not many that know little. Home hosts are the first
        ones for the server by rendezvous hashing over the hosts that live,
        so all hosts name the same ones without asking, and a host that comes
        or goes moves few. In a small fleet all hosts are home everywhere.

    HOW TO USE IT
            bool home = cw_home_is(server, own_id, ids, count);
            uint32_t found = cw_home_others(server, own_id, ids, count, others); // indices into ids

    WHAT IT DOES NOT DO
        It keeps no list of hosts (chalkway_member.h) and sends nothing. Hosts
        whose lists differ for a moment may both take a place.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Home hosts of a server: enough that a host of a large fleet has engines to choose from, few enough to be told
 * directly. */
#define CW_HOME_HOSTS 16
#define CW_HOME_FLEET 24 /* up to so many hosts all are home everywhere: telling each one costs less */

/* Whether own is a home host of the server; ids: the hosts that live. A host that is not among them is home nowhere. */
bool cw_home_is(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count);
/* The server's home hosts but own, as indices into ids; none where own is no home host of it. Returns their number. */
uint32_t cw_home_others(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count,
                        uint32_t others[CW_HOME_HOSTS]);

#endif /* CHALKWAY_HOME_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_HOME_IMPL_INCLUDED
#define CHALKWAY_HOME_IMPL_INCLUDED

#include "chalkway_place.h"

bool cw_home_is(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count) {
    return count <= CW_HOME_FLEET || cw_place_rank(server, own, ids, count) < CW_HOME_HOSTS;
}

/* Puts the index where its score belongs among those found, the highest first. Returns their number now. */
static uint32_t _cw_home_insert(uint32_t* found, uint64_t* scores, uint32_t count, uint32_t index, uint64_t score) {
    uint32_t at = count;
    while (at > 0 && scores[at - 1] < score) {
        at--;
    }
    if (at == CW_HOME_HOSTS) {
        return count;
    }
    uint32_t last = count < CW_HOME_HOSTS ? count : CW_HOME_HOSTS - 1;
    for (uint32_t i = last; i > at; i--) {
        found[i] = found[i - 1];
        scores[i] = scores[i - 1];
    }
    found[at] = index;
    scores[at] = score;
    return last + 1;
}

uint32_t cw_home_others(uint64_t server, uint64_t own, const uint64_t* ids, uint32_t count,
                        uint32_t others[CW_HOME_HOSTS]) {
    uint32_t found[CW_HOME_HOSTS];
    uint64_t scores[CW_HOME_HOSTS];
    uint32_t homes = 0;
    for (uint32_t i = 0; i < count; i++) {
        homes = _cw_home_insert(found, scores, homes, i, cw_mix(server, ids[i]));
    }
    uint32_t kept = 0;
    for (uint32_t i = 0; i < homes; i++) {
        if (ids[found[i]] != own) {
            others[kept++] = found[i];
        }
    }
    return kept < homes ? kept : 0;
}

#endif /* CHALKWAY_HOME_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
