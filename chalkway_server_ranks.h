#ifndef CHALKWAY_SERVER_RANKS_H
#define CHALKWAY_SERVER_RANKS_H
/*
    chalkway_server_ranks.h -- ranks of a pool's servers for a prompt

    WHAT IT IS
        Decides whether a prompt is placed (chalkway_placement.h), and ranks the
        servers of the table for its last shared part. For a prompt that is
        placed these are all listed engines, so that one that is excluded for a
        while keeps its rank. For another prompt only the first ones, its
        owners, matter: those of the servers that accept prompts now.

    HOW TO USE IT
            bool is_placed = cw_server_is_placement_needed(&table, hosts, &work, &prefix, prefill_ms_per_token);
            cw_server_ranks_t ranks = cw_server_rank(&table, now_ms, &prefix, is_placed);
            if (cw_server_is_owner(&ranks, s)) { ... }

    WHAT IT DOES NOT DO
        It has no costs, see chalkway_server_cost.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_placement.h"
#include "chalkway_server_table.h"

/* Ranks for a prompt's last shared part. */
typedef struct cw_server_ranks_t {
    bool is_placed;
    cw_placement_t placement; /* if the prompt is not placed: level 0 has its owners, level 1 all others */
} cw_server_ranks_t;

/* Whether the prompt is placed. hosts: number of live hosts. */
bool cw_server_is_placement_needed(const cw_server_table_t* t, uint32_t hosts, const cw_work_t* work,
                                   const cw_prefix_t* prefix, double prefill_ms_per_token);
/* Ranks the servers. Uses the table's scratch space. */
cw_server_ranks_t cw_server_rank(const cw_server_table_t* t, int64_t now_ms, const cw_prefix_t* prefix, bool is_placed);
/* Whether the server owns the prompt's last shared part. */
bool cw_server_is_owner(const cw_server_ranks_t* ranks, const cw_pool_server_t* s);

#endif /* CHALKWAY_SERVER_RANKS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_RANKS_IMPL_INCLUDED
#define CHALKWAY_SERVER_RANKS_IMPL_INCLUDED

#include "chalkway_owner.h"

bool cw_server_is_placement_needed(const cw_server_table_t* t, uint32_t hosts, const cw_work_t* work,
                                   const cw_prefix_t* prefix, double prefill_ms_per_token) {
    return prefix->shared_tokens && hosts > CW_OWNER_SMALL_FLEET && !work->rendezvous_key &&
           cw_placement_is_needed(t->listed_engines, prefill_ms_per_token * prefix->shared_tokens, work->target_ms);
}

cw_server_ranks_t cw_server_rank(const cw_server_table_t* t, int64_t now_ms, const cw_prefix_t* prefix,
                                 bool is_placed) {
    uint32_t count = 0;
    uint64_t part = prefix->last_shared_part;
    for (uint32_t i = 0; i < t->entry_count && prefix->shared_tokens; i++) {
        const cw_pool_server_t* s = &t->servers[i];
        bool is_ranked = is_placed ? s->is_listed && s->spec.memory_tokens : cw_server_is_unthrottled(s, now_ms);
        if (is_ranked) {
            t->scores[count++] = cw_placement_score(part, s->spec.id);
        }
    }
    uint32_t depth = is_placed ? CW_PLACEMENT_LEVELS_MAX : 1;
    return (cw_server_ranks_t){.is_placed = is_placed, .placement = cw_placement_rank(part, t->scores, count, depth)};
}

bool cw_server_is_owner(const cw_server_ranks_t* ranks, const cw_pool_server_t* s) {
    return cw_placement_level(&ranks->placement, s->spec.id) == 0;
}

#endif /* CHALKWAY_SERVER_RANKS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
