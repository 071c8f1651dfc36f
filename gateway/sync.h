#ifndef CW_GATEWAY_SYNC_H
#define CW_GATEWAY_SYNC_H
/*
    The configuration and the list of servers: read from the source, or from a peer that has something newer. A revision
    never goes back within one life of the process.

    Both are read again when what is known has grown too old. The ages travel with the peers' datagrams, so a reading by
    one daemon confirms what all have; chalkway_reader.h decides which daemon reads. What a peer has newer is fetched by
    chalkway_pull.h. A waiting watch is not used: one that is cut in silence tells nothing, and a watch on the servers
    wakes for every heartbeat. A list of several pages is read once, and then what changed since, by one call that is
    answered at once. Heartbeats are changes too, so an answer without any confirms nothing, and the whole list is read.
    The halls that are closed go with the list of servers: whoever reads the list at the source reads them too, no
   oftener than needed. Peers read both documents at the share address, the list by its changes where they have an older
   one (chalkway_changes.h).
*/
#include "../chalkway_catalog.h"
#include "../chalkway_load.h"
#include "../chalkway_log.h"
#include "../chalkway_servers.h"
#include "../io/client.h"
#include "dialect.h"

typedef struct sync_t sync_t;

typedef struct sync_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const source_t* source;
    const char* address;        /* of the source */
    const char* share;          /* address at which peers read */
    uint32_t share_connections; /* of peers at once, default 64 */
    uint64_t seed;              /* of this host: spreads what all would do at once */
    uint32_t closed_ms;         /* age at which the closed halls are read again with the servers, 0: never */
    uint32_t read_ms;           /* age at which the daemon of the first rank reads again */
    uint32_t late_ms;           /* age at which the daemon of the last rank does, 0: see chalkway_reader.h */
    bool nobody_calls;          /* the whole system starts for the first time */
    void (*on_catalog)(void* user_data, cw_catalog_t* catalog);
    /* after_outage: nothing was known of the source for long before this list. */
    void (*on_servers)(void* user_data, const cw_servers_t* list, bool after_outage);
    void* user_data;
} sync_desc_t;

typedef struct sync_stats_t {
    uint64_t source_calls, source_failures, peer_calls;
    uint64_t entries_refused; /* of lists: they name no server */
    int64_t revision;
    int64_t servers_age_ms; /* -1: never read */
    bool source_lost;
} sync_stats_t;

sync_t* sync_setup(const sync_desc_t* desc, cw_error_t* err);
void sync_shutdown(sync_t* s);
/* Configuration and servers are known. */
bool sync_ready(const sync_t* s);
int64_t sync_revision(const sync_t* s);
/* What this daemon knows, to be told to the peers. */
cw_knowledge_t sync_knowledge(const sync_t* s);
/* What a peer knows. share: the address where it can be read; far: in another hall. */
void sync_on_peer(sync_t* s, const char* share, bool far, const cw_knowledge_t* knowledge);
/* Place among the living daemons in a fixed order, 0 first, and how many there have been at most. */
void sync_set_rank(sync_t* s, uint32_t rank, uint32_t daemons);
void sync_tick(sync_t* s, int64_t now_ms);
sync_stats_t sync_stats(const sync_t* s);
/* The list of servers in force; NULL: none yet. */
const cw_servers_t* sync_servers(const sync_t* s);

#endif
