#ifndef CHALKWAY_SERVER_PREFIX_H
#define CHALKWAY_SERVER_PREFIX_H
/*
    chalkway_server_prefix.h -- which parts of a prompt are cached at which server

    WHAT IT IS
        Connects the table of servers with the table of cached prompt parts.
        Parts that a server has prefilled count as cached there until as many
        further tokens were prefilled as fit into its prefix cache. Also decides
        how many tokens a server fetches from another one.

    HOW TO USE IT
            cw_prefix_t prefix = cw_server_find_prefix(cache, &table, &work);
            uint32_t cached = cw_server_cached_tokens(cache, s, &work);
            uint32_t fetched = cw_server_fetched_tokens(s, &prefix, cached, prefill_ms_per_token);
            cw_server_cache_part(cache, s, &work.parts[0]);

    WHAT IT DOES NOT DO
        It has no costs, see chalkway_server_cost.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_prefix_cache.h"
#include "chalkway_server_table.h"

/* Tokens of the prompt that are assumed to be cached at the server. */
uint32_t cw_server_cached_tokens(const cw_prefix_cache_t* cache, const cw_pool_server_t* s, const cw_work_t* work);
/* Records that a prompt with this part was sent to the server. */
void cw_server_cache_part(cw_prefix_cache_t* cache, cw_pool_server_t* s, const cw_prompt_part_t* part);
/* Finds where the prompt's parts are cached, among the servers that may be chosen. */
cw_prefix_t cw_server_find_prefix(const cw_prefix_cache_t* cache, const cw_server_table_t* t, const cw_work_t* work);
/* Tokens that the server fetches from prefix->best_server, if a fetch is faster than their prefill; 0: none. */
uint32_t cw_server_fetched_tokens(const cw_pool_server_t* s, const cw_prefix_t* prefix, uint32_t cached_tokens,
                                  double prefill_ms_per_token);

#endif /* CHALKWAY_SERVER_PREFIX_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_PREFIX_IMPL_INCLUDED
#define CHALKWAY_SERVER_PREFIX_IMPL_INCLUDED

#define _CW_FETCH_TOKENS_MIN 256   /* fewer tokens are not worth a fetch */
#define _CW_PREFIX_CACHE_SHARE 0.6 /* of a server's memory that is assumed to cache prompt parts */

static cw_prefix_capacity_t _cw_server_prefix_capacity(const cw_pool_server_t* s) {
    return (cw_prefix_capacity_t){.server = s->spec.id,
                                  .prefilled_tokens = s->prefilled_tokens,
                                  .capacity_tokens = _CW_PREFIX_CACHE_SHARE * s->spec.memory_tokens};
}

uint32_t cw_server_cached_tokens(const cw_prefix_cache_t* cache, const cw_pool_server_t* s, const cw_work_t* work) {
    cw_prefix_capacity_t capacity = _cw_server_prefix_capacity(s);
    uint32_t tokens = cw_prefix_cached_tokens(cache, &capacity, work->parts, work->part_count);
    return tokens < work->prompt_tokens ? tokens : work->prompt_tokens;
}

void cw_server_cache_part(cw_prefix_cache_t* cache, cw_pool_server_t* s, const cw_prompt_part_t* part) {
    cw_prefix_capacity_t capacity = _cw_server_prefix_capacity(s);
    if (!cw_prefix_cache_has(cache, s->spec.id, part->id, capacity.prefilled_tokens, capacity.capacity_tokens)) {
        s->prefilled_tokens += part->tokens;
    }
    cw_prefix_cache_add(cache, s->spec.id, part->id, s->prefilled_tokens);
}

cw_prefix_t cw_server_find_prefix(const cw_prefix_cache_t* cache, const cw_server_table_t* t, const cw_work_t* work) {
    cw_prefix_t prefix = cw_prefix_init(work->parts, work->part_count);
    for (uint32_t i = 0; i < t->entry_count && work->part_count; i++) {
        const cw_pool_server_t* s = &t->servers[i];
        if (s->is_used && s->is_listed && !s->is_unreachable) {
            cw_prefix_add_server(&prefix, s->spec.id, cw_server_cached_tokens(cache, s, work));
        }
    }
    uint32_t best = cw_server_table_find(t, prefix.best_server);
    prefix.best_version = best == CW_BALANCE_NONE ? 0 : t->servers[best].spec.version;
    return prefix;
}

uint32_t cw_server_fetched_tokens(const cw_pool_server_t* s, const cw_prefix_t* prefix, uint32_t cached_tokens,
                                  double prefill_ms_per_token) {
    uint32_t missing_tokens = prefix->best_tokens > cached_tokens ? prefix->best_tokens - cached_tokens : 0;
    bool is_cheaper = s->spec.fetch_ms_per_token > 0 && s->spec.fetch_ms_per_token < prefill_ms_per_token;
    /* What servers of two versions keep in memory need not fit together. */
    bool is_compatible = prefix->best_version == s->spec.version;
    return is_cheaper && is_compatible && missing_tokens >= _CW_FETCH_TOKENS_MIN ? missing_tokens : 0;
}

#endif /* CHALKWAY_SERVER_PREFIX_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
