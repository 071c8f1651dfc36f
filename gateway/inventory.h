#ifndef CW_GATEWAY_INVENTORY_H
#define CW_GATEWAY_INVENTORY_H
/*
    Prefix cache inventory. A daemon that starts does not know which prompt parts the engines have cached. After a
    restart of the whole fleet no other daemon knows it either, and prompts would be prefilled again although an
    engine still has them cached. So each daemon queries the cache lists of some engines once, soon after its start.
    Each engine is queried by the live daemon that owns it. That daemon records the list and publishes it to its
    peers.

    No engine is queried again: later prompts are recorded as requests are sent.
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
    /* The engine has these parts cached. */
    void (*on_cached_parts)(void* user_data, server_t* server, const cw_prompt_part_t* parts, uint32_t count);
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

#endif
