#ifndef CW_GATEWAY_SYNC_H
#define CW_GATEWAY_SYNC_H
/*
    Keeps the configuration and the list of servers up to date, from the source or from a peer that has a newer version.
    The revision in use never goes back while the process runs.

    Polling. Both documents are polled again when the last confirmation that they are current is too old. Each daemon
    sends the ages of its documents with its datagrams, so one poll confirms the documents of all daemons;
    chalkway_poll.h decides which daemon polls. A newer document is fetched from a peer that offers it
    (chalkway_pull.h). Long polling is not used: a connection that is cut silently looks like a source without changes,
    and a watch on the servers returns for every heartbeat.

    The list of servers. A list of several pages is read in full once, after that only its changes, by one call that
    returns at once. Heartbeats of servers are changes too, so a response without any change is not trusted: the full
    list is read then. The halls that are closed belong to the list: the daemon that polls the list also polls them, but
    not more often than needed.

    Peers read both documents at the share address. A peer that has an older list gets only the changes
    (chalkway_changes.h).
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
    const char* address;            /* of the source */
    const char* share;              /* address at which peers read the documents */
    uint32_t share_connections;     /* most connections of peers, default 64 */
    uint64_t seed;                  /* of this host; spreads the polls of daemons that start together */
    uint32_t closed_poll_age_ms;    /* age at which the closed halls are polled along with the servers, 0: never */
    uint32_t poll_age_ms;           /* age at which the daemon of the first rank polls again */
    uint32_t last_rank_poll_age_ms; /* age at which the daemon of the last rank polls again, 0: see chalkway_poll.h */
    bool is_first_start;            /* the whole system starts for the first time, there is no traffic yet */
    /* The configuration changed. */
    void (*on_catalog)(void* user_data, cw_catalog_t* catalog);
    /* The list of servers changed. after_outage: the source had not confirmed the previous list for long, or that list
       is of an earlier epoch of the source. */
    void (*on_servers)(void* user_data, const cw_servers_t* list, bool after_outage);
    /* The revisions of the source went back: those of earlier lists can't be compared with the next one's. Called
       before on_servers. May be NULL. */
    void (*on_revisions_reset)(void* user_data);
    /* The history of the source was read, see sync_read_history: entries that servers have had. May be NULL. */
    void (*on_history)(void* user_data, const cw_servers_t* entries, source_coverage_t coverage);
    void* user_data;
} sync_desc_t;

typedef struct sync_stats_t {
    uint64_t source_calls, source_failures, peer_calls;
    uint64_t entries_refused; /* invalid entries in lists of servers */
    int64_t revision;
    int64_t servers_age_ms;     /* since the list was last known to be current, -1: no list yet */
    bool is_source_unavailable; /* the last call to the source failed */
} sync_stats_t;

sync_t* sync_setup(const sync_desc_t* desc, cw_error_t* err);
void sync_shutdown(sync_t* s);
/* Whether there are a configuration and a list of servers. */
bool sync_is_ready(const sync_t* s);
/* Revision of the active configuration, 0: none yet. */
int64_t sync_revision(const sync_t* s);
/* The source state of this daemon, to be sent to the peers. */
cw_source_state_t sync_source_state(const sync_t* s);
/* A peer's source state was received: ages are adjusted, and newer documents will be fetched from peers. share: address
   at which the peer serves its documents; is_remote: the peer is in another hall. */
void sync_on_peer_state(sync_t* s, const char* share, bool is_remote, const cw_source_state_t* source_state);
/* rank: of this daemon among those that are alive, 0 first; daemons: most that were known at once. */
void sync_set_rank(sync_t* s, uint32_t rank, uint32_t daemons);
void sync_tick(sync_t* s, int64_t now_ms);
/* Reads the history of the source, unless it was read after since_ms. Returns whether it is still to come. */
bool sync_read_history(sync_t* s, int64_t since_ms);
sync_stats_t sync_stats(const sync_t* s);
/* The active list of servers, NULL: none yet. */
const cw_servers_t* sync_servers(const sync_t* s);

#endif
