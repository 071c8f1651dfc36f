#ifndef CHALKWAY_REACH_H
#define CHALKWAY_REACH_H
/*
    chalkway_reach.h -- whether this host can open connections to the servers of a pool

    WHAT IT IS
        A connection that can't be opened has two possible causes: the server
        is down, or the network path from this host to it is broken. If
        another host can open one to the same server at that time, it is the
        path. This module keeps the broken paths of one pool and concludes
        from them whether the host is cut off from the whole pool: paths to
        several servers are broken, or to all if there are few, and no direct
        connection to any server has been opened since the first of them
        broke. A service that is down for all hosts breaks no path, so no host
        is cut off from it.

        While paths are broken, one server at a time is checked by opening a
        direct connection. In doubt, servers whose path counts as sound are
        checked, which decides soon whether the host is cut off. The first
        connection that opens ends the cut for the whole pool.

    HOW TO USE IT
            cw_reach_t reach = {0};
            if (cw_reach_on_path_broken(&reach, now_ms, servers)) { ... }  // cut off from now on
            if (cw_reach_on_connected(&reach, now_ms)) { ... }             // no longer cut off
            cw_reach_check_t check = cw_reach_next_check(&reach, now_ms);

    WHAT IT DOES NOT DO
        It opens no connection and keeps no list of servers: the caller
        reports each path once when it breaks and once when it is restored.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Which server is to be checked by opening a direct connection. */
typedef enum cw_reach_check_t {
    CW_REACH_CHECK_NONE = 0,
    CW_REACH_CHECK_SOUND, /* one whose path counts as sound */
    CW_REACH_CHECK_BROKEN /* one whose path is broken */
} cw_reach_check_t;

/* All zero: no path is broken. Times in ms, 0: never. */
typedef struct cw_reach_t {
    uint32_t broken_count; /* servers whose path is broken */
    int64_t broken_ms;     /* when the first of them broke */
    int64_t connected_ms;  /* when a direct connection was last opened */
    int64_t checked_ms;    /* time of the last check */
    bool is_cut;           /* this host is cut off from the pool */
} cw_reach_t;

/* Records that the path to one more server is broken. servers: number of the pool's servers in use. True: this host is
   cut off from the pool from now on. */
bool cw_reach_on_path_broken(cw_reach_t* r, int64_t now_ms, uint32_t servers);
/* Records that a broken path is sound again, or that its server is no longer used. */
void cw_reach_on_path_restored(cw_reach_t* r);
/* Records that a direct connection was opened. True: this host is no longer cut off from the pool. */
bool cw_reach_on_connected(cw_reach_t* r, int64_t now_ms);
/* The check that is due now; it counts as begun. */
cw_reach_check_t cw_reach_next_check(cw_reach_t* r, int64_t now_ms);

#endif /* CHALKWAY_REACH_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_REACH_IMPL_INCLUDED
#define CHALKWAY_REACH_IMPL_INCLUDED

#define _CW_REACH_CUT_MIN 3 /* broken paths that show a cut; fewer in a smaller pool */
#define _CW_REACH_CHECK_INTERVAL_MS 500
#define _CW_REACH_DOUBT_INTERVAL_MS 100 /* while paths are broken, and it is open whether all are */

static bool _cw_reach_is_in_doubt(const cw_reach_t* r) {
    return r->broken_count && !r->is_cut && r->connected_ms <= r->broken_ms;
}

bool cw_reach_on_path_broken(cw_reach_t* r, int64_t now_ms, uint32_t servers) {
    bool was_cut = r->is_cut;
    uint32_t needed = servers < _CW_REACH_CUT_MIN ? servers : _CW_REACH_CUT_MIN;
    r->broken_ms = r->broken_count ? r->broken_ms : now_ms;
    r->broken_count++;
    r->is_cut = was_cut || (r->broken_count >= needed && r->connected_ms <= r->broken_ms);
    return r->is_cut && !was_cut;
}

void cw_reach_on_path_restored(cw_reach_t* r) {
    r->broken_count -= r->broken_count > 0;
    r->is_cut = r->is_cut && r->broken_count;
}

bool cw_reach_on_connected(cw_reach_t* r, int64_t now_ms) {
    bool was_cut = r->is_cut;
    r->connected_ms = now_ms;
    r->is_cut = false;
    return was_cut;
}

cw_reach_check_t cw_reach_next_check(cw_reach_t* r, int64_t now_ms) {
    bool is_in_doubt = _cw_reach_is_in_doubt(r);
    uint32_t interval_ms = is_in_doubt ? _CW_REACH_DOUBT_INTERVAL_MS : _CW_REACH_CHECK_INTERVAL_MS;
    if (!r->broken_count || now_ms - r->checked_ms < interval_ms) {
        return CW_REACH_CHECK_NONE;
    }
    r->checked_ms = now_ms;
    return is_in_doubt ? CW_REACH_CHECK_SOUND : CW_REACH_CHECK_BROKEN;
}

#endif /* CHALKWAY_REACH_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
