#ifndef CW_GATEWAY_SYNC_H
#define CW_GATEWAY_SYNC_H
/*
    The configuration and the list of servers: read from the source, or from a peer that has something newer where the
    source does not answer this host. A revision never goes back within one life of the process.

    The configuration is watched; the list of servers is read again and again, since a watch on it would wake for every
    heartbeat. Peers read both at the share address.
*/
#include "../chalkway_catalog.h"
#include "../chalkway_log.h"
#include "../chalkway_servers.h"
#include "../io/client.h"
#include "dialect.h"

typedef struct sync_t sync_t;

typedef struct sync_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const source_t* source;
    const char* address; /* of the source */
    const char* share;   /* address at which peers read */
    uint32_t watch_ms, servers_ms;
    void (*on_catalog)(void* user_data, cw_catalog_t* catalog);
    void (*on_servers)(void* user_data, const cw_servers_t* list);
    /* Share address of a peer to read from, any; NULL: none is known. */
    const char* (*any_peer)(void* user_data);
    void* user_data;
} sync_desc_t;

typedef struct sync_stats_t {
    uint64_t source_calls, source_failures, peer_calls;
    int64_t revision;
    int64_t servers_age_ms; /* -1: never read */
    bool source_lost;
} sync_stats_t;

sync_t* sync_setup(const sync_desc_t* desc, cw_error_t* err);
void sync_shutdown(sync_t* s);
/* Configuration and servers are known. */
bool sync_ready(const sync_t* s);
int64_t sync_revision(const sync_t* s);
/* A peer has this revision. share: its address. */
void sync_on_peer_revision(sync_t* s, const char* share, int64_t revision);
void sync_tick(sync_t* s, int64_t now_ms);
sync_stats_t sync_stats(const sync_t* s);

#endif
