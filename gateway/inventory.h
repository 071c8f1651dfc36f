#ifndef CW_GATEWAY_INVENTORY_H
#define CW_GATEWAY_INVENTORY_H
/*
    Prefix cache inventory. A daemon that starts knows nothing of the parts of prompts that engines keep, and when the
    whole fleet has started anew, neither does any other: prompts would be read again that an engine still has. So each
    daemon asks some engines for their list once, soon after its start; each engine is asked by one of the daemons that
    live then. What comes back is learned here and told to the peers.

    It asks no second time: what is sent to the engines later is learned from requests.
*/
#include <ev.h>

#include "../chalkway_log.h"
#include "dialect.h"
#include "upstream.h"

#define INVENTORY_PARTS_PER_ENGINE 512 /* most parts of one engine that are learned: the last ones of its list */
#define INVENTORY_PARTS_TOTAL 8192 /* most parts of all engines together: half of what chalkway_balance.h remembers */

typedef struct inventory_t inventory_t;

typedef struct inventory_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const dialect_t* dialect; /* one without an inventory call: nothing is ever asked */
    upstreams_t* upstreams;
    uint32_t settle_ms; /* from the first list of servers until it asks, default 300 */
    /* Whether this daemon knows its peers: until then it would take the engines of others for its own. */
    bool (*is_settled)(void* user_data); /* NULL: it has none */
    /* Whether this daemon is the one to ask the server. */
    bool (*is_mine)(void* user_data, uint64_t server);
    /* The engine keeps these parts. */
    void (*on_parts)(void* user_data, server_t* server, const cw_work_part_t* parts, uint32_t count);
    void* user_data;
} inventory_desc_t;

typedef struct inventory_stats_t {
    uint32_t asked, failed, parts;
    bool done;
} inventory_stats_t;

inventory_t* inventory_setup(const inventory_desc_t* desc);
void inventory_shutdown(inventory_t* v);
void inventory_tick(inventory_t* v, int64_t now_ms);
inventory_stats_t inventory_stats(const inventory_t* v);

#endif
