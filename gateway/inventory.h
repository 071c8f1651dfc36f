#ifndef CW_GATEWAY_INVENTORY_H
#define CW_GATEWAY_INVENTORY_H
/*
    Prefix cache inventory. A daemon that starts does not know which prompt parts the engines have cached. After a
    restart of the whole fleet no other daemon knows it either, and prompts would be prefilled again although an
    engine still has them cached. So each daemon queries the cache lists of some engines once, soon after its start.
    Each engine is queried by the live daemon that owns it. That daemon records the list and publishes it to its
    peers.

    No daemon queries an engine again: later prompts are recorded as requests are sent. Engines that pass to this
   daemon, since another one has ended, are queried when somebody needs to know that all have replied.

    If all hosts were lost, streams that broke off may still run, or be cached. A run whose memory isn't listed yet is
   in the engine's list of runs. That list is read first, since a run that ends after it is listed as cached.
*/
#include <ev.h>

#include "../chalkway_log.h"
#include "dialect.h"
#include "upstream.h"

#define INVENTORY_PARTS_PER_ENGINE 512 /* most parts recorded of one engine: the last ones of its list */
#define INVENTORY_PARTS_TOTAL 8192 /* most parts recorded of all engines; less than max_parts of chalkway_balance.h */

typedef struct inventory_t inventory_t;

typedef struct inventory_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const dialect_t* dialect; /* without an inventory_path nothing is queried */
    upstreams_t* upstreams;
    uint32_t settle_delay_ms; /* delay from the first known engine to the queries, default 300 */
    /* Whether this daemon's membership has converged. Until then it takes engines of other daemons for its own. */
    bool (*is_converged)(void* user_data); /* NULL: this daemon has no peers */
    /* Whether this daemon is the one that queries the server. */
    bool (*owns_server)(void* user_data, uint64_t server);
    /* Fingerprint of the daemons that are alive: ownership changes only with it. NULL: 0. */
    uint64_t (*fleet_set)(void* user_data);
    /* The engine has these parts cached. */
    void (*on_cached_parts)(void* user_data, server_t* server, const cw_prompt_part_t* parts, uint32_t count);
    /* The same, with the tokens of each part that the engine has cached. May be NULL. */
    void (*on_listed_parts)(void* user_data, const server_t* server, const cw_prompt_part_t* parts, uint32_t count);
    /* Whether the runs of engines are needed, too: nobody remembers which streams they serve. NULL: no. */
    bool (*needs_runs)(void* user_data);
    /* The engine runs these requests. id: cw_name_id of the request's id; tokens: events that it has sent. Needed with
       needs_runs. */
    void (*on_runs)(void* user_data, const server_t* server, const cw_prompt_part_t* runs, uint32_t count);
    void* user_data;
} inventory_desc_t;

typedef struct inventory_stats_t {
    uint32_t queried, failed, parts;
    bool is_done;
} inventory_stats_t;

inventory_t* inventory_setup(const inventory_desc_t* desc);
void inventory_shutdown(inventory_t* v);
void inventory_tick(inventory_t* v, int64_t now_ms);
inventory_stats_t inventory_stats(const inventory_t* v);
/* Whether all listed engines that this daemon owns have replied or failed. If not, those that were not asked are
   queried by the next inventory_tick. */
bool inventory_is_complete(inventory_t* v);
/* Number of versions of the pool's engines that failed to reply: 0, 1 or 2 (several); version: set if it is 1. */
uint32_t inventory_count_failed(const inventory_t* v, uint64_t pool, uint64_t* version);

#endif
