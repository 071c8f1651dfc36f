#ifndef CW_GATEWAY_UPSTREAM_H
#define CW_GATEWAY_UPSTREAM_H
/*
    Pools, their servers and the connections to them.

    A server process is identified by its id and its start time. Each incarnation of a server is a server_t of its own
    with its own key, so that what is known, reported or done for one incarnation is not attributed to another. The
    current incarnation follows from the server list: the one listed at the later revision of the source or, where
    that does not decide, the one that started later. Servers of pools that the configuration does not declare are
    ignored. The connections to a server are limited to this daemon's share of what the server accepts from all
    daemons. A response belongs to a request only if it repeats the request's id, or names none and the connection has
    carried no other request: a response to an earlier request is skipped, and bytes after a response end the
    connection.
*/
#include <ev.h>

#include "../chalkway_balance.h"
#include "../chalkway_catalog.h"
#include "../chalkway_continuity.h"
#include "../chalkway_limit.h"
#include "../chalkway_log.h"
#include "../chalkway_member.h"
#include "../chalkway_pool_versions.h"
#include "../chalkway_pushback.h"
#include "../chalkway_reach.h"
#include "../chalkway_servers.h"
#include "../chalkway_subset.h"
#include "../io/message.h"
#include "../io/stream.h"
#include "dialect.h"

typedef struct upstreams_t upstreams_t;
typedef struct pool_t pool_t;
typedef struct server_t server_t;
typedef struct upstream_conn_t upstream_conn_t;

#define UPSTREAM_PEER_TIMEOUT_MS 3000 /* a server that acknowledges nothing for this time counts as lost */
#define PLACEMENT_LEVELS 7            /* placement levels that are counted; the last one counts all further ones, too */

struct server_t {
    uint64_t key;     /* of this incarnation: cw_server_incarnation_id */
    uint64_t id_hash; /* hash of the published id, the same for all incarnations */
    cw_server_t published;
    int64_t listed_revision; /* source revision of the last list that named the server; 0: unknown */
    struct sockaddr_in address;
    pool_t* pool;
    bool is_retired; /* this incarnation has ended, or it is leaving */
    /* This incarnation announced, in the list or in a response, that it drains and stops. Never reset. */
    bool is_leaving;
    bool is_removed;       /* retired, or no longer listed: gets no new requests */
    bool is_hall_closed;   /* its hall is closed: gets no new requests for now */
    bool is_listed;        /* the last list names the server, leaving or not */
    bool is_inventoried;   /* this daemon has asked it for the prompt parts that it has cached */
    int64_t expires_at_ms; /* while the server is not listed: time at which it counts as removed */
    bool is_probing;
    bool is_watched;             /* upstreams_tick checks it */
    bool is_path_broken;         /* this host can't connect to it, but another host can */
    int64_t path_checked_ms;     /* time of the last check of the path; 0: never */
    uint32_t busy_conns;         /* connections that wait for a response or receive one */
    int64_t busy_since_ms;       /* since when there has been any */
    int64_t received_ms;         /* when this host last received data from the server; 0: never */
    int64_t heard_ms;            /* when data of the process that is listed last arrived, at the earliest; 0: never */
    int64_t presumed_crash_ms;   /* time of a presumed crash, which data on an older connection disproves; 0: none */
    uint32_t conn_count;         /* number of connections */
    upstream_conn_t* idle_conns; /* most recently used first */
    double connect_ms;           /* moving average of the time to connect; 0: unknown */
    uint32_t idle_timeout_ms;    /* as last announced by the server; 0: unknown */
    cw_continuity_t continuity;  /* whether this is still the process that the list describes */
    int64_t reach_tried_ms;      /* when this host last tried to reach it for that */
    server_t* next;              /* next server of the pool */
};

struct pool_t {
    char name[CW_NAME_MAX];
    uint64_t id;                       /* hash of the name */
    char health_path[CW_NAME_MAX * 2]; /* path of the health check, "": none */
    bool is_declared;                  /* in the active configuration */
    upstreams_t* upstreams;
    cw_balance_t* balance;
    uint32_t connections; /* connections that one server accepts from all daemons; 0: no limit */
    uint32_t slots;       /* slots of each engine; 0: the servers are not engines */
    uint32_t memory_tokens;
    uint32_t event_tokens;     /* tokens in one event of an engine's stream; 0: unknown */
    double cold_per_s;         /* requests per second that all daemons may send to a cold server; 0: no limit */
    double fetch_ms_per_token; /* time to fetch one cached token from another engine; 0: not possible */
    double logged_prefill_ms;  /* prefill time per token as last logged; 0: not yet */
    bool is_logged_shared;     /* the shared forecast was in use when that was last logged */
    cw_retry_window_t retries;
    server_t* servers;
    int64_t opened_ms;           /* when this host last opened a connection to any of the servers; 0: never */
    int64_t received_ms;         /* when this host last received data from any of the servers; 0: never */
    cw_pool_versions_t versions; /* of the servers' software */
    bool has_resumable_streams;  /* it has had requests for such */
    uint64_t listed_set;         /* fingerprint of the servers that the last list names, leaving or not */
    uint64_t listed_changes;     /* of listed_set so far */
    cw_subset_t subset;          /* the listed servers that are used */
    uint32_t busy_conns;         /* connections that wait for a response or receive one */
    int64_t busy_since_ms;       /* since when there has been any */
    int64_t silence_checked_ms;  /* time of the last path check because no server sent anything */
    cw_reach_t reach;
    bool is_path_silent;                 /* the path that broke last refused no connection: open ones are dead, too */
    bool has_expired_servers;            /* a server has expired, so the list of usable servers must be updated */
    uint32_t listed;                     /* servers that are not removed and whose hall is not closed */
    uint32_t ready;                      /* servers that may be chosen */
    uint32_t waiting[CW_URGENCY_LEVELS]; /* this daemon's requests that wait for a slot, by urgency */
    uint64_t placed[PLACEMENT_LEVELS];   /* attempts whose server was chosen by placement, by level */
    pool_t* next;
};

typedef enum upstream_conn_failure_t {
    UPSTREAM_CONN_UNREACHABLE = 0, /* not connected: nothing was sent */
    UPSTREAM_CONN_RESET,           /* reset by the server */
    UPSTREAM_CONN_LOST,            /* the server acknowledged nothing in time */
    UPSTREAM_CONN_CLOSED,          /* closed before the response was complete */
    UPSTREAM_CONN_MALFORMED,       /* the bytes received are no HTTP response */
    UPSTREAM_CONN_TUNNEL_BROKEN    /* the host of the tunnel closed it; nothing is known about the server */
} upstream_conn_failure_t;

typedef struct upstream_conn_handlers_t {
    void (*on_open)(void* owner); /* connected: the request may be sent */
    void (*on_head)(void* owner, const cw_message_t* response);
    void (*on_body)(void* owner, const char* data, size_t size);
    void (*on_complete)(void* owner);                                /* the end of the response was received */
    void (*on_broken)(void* owner, upstream_conn_failure_t failure); /* the connection is closed and freed */
} upstream_conn_handlers_t;

typedef struct upstreams_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const dialect_t* dialect;
    uint64_t hall; /* hash of the own hall's name */
    uint64_t host; /* id of this host */
    double retry_ratio, retry_slack;
    uint32_t retry_window_ms;
    uint32_t max_conns;      /* connections of this process to all servers */
    uint32_t max_servers;    /* known at the same time, in all pools; default 4096; memory grows with their number */
    uint32_t backoff_max_ms; /* longest backoff that a server can ask for; default 30 minutes */
    cw_forecast_mode_t forecast;
    /* Whether only this daemon sends to the server while the server is cold. NULL: always true. */
    bool (*owns_server)(void* user_data, uint64_t server);
    /* Age of the list of servers, ms: time since it was last known to be current; negative: no list. NULL: always 0. */
    int64_t (*list_age_ms)(void* user_data);
    /* A server sent data on a connection that was opened before its presumed crash. May be NULL. */
    void (*on_server_alive)(void* user_data, const server_t* server);
    /* A server's advertised rate changed, or it announced that it leaves; notify the other hosts. May be NULL. */
    void (*on_pushback)(void* user_data, const server_t* server);
    /* This host has lost or regained the network path to all servers of the pool (pool->reach.is_cut). May be NULL. */
    void (*on_reach_changed)(void* user_data, pool_t* pool);
    /* A host through which servers of the pool can be reached; see mesh_choose_tunnel_host. May be NULL. */
    const cw_member_info_t* (*choose_tunnel_host)(void* user_data, const pool_t* pool, uint64_t key,
                                                  const uint64_t* excluded, uint32_t excluded_count);
    struct sockaddr_in tunnel_source; /* address of this host from which it connects to others, port 0 */
    const char* cluster;              /* named in requests for a tunnel */
    /* A slot may be free in the pool. */
    void (*on_slot_free)(void* user_data, pool_t* pool);
    void* user_data;
} upstreams_desc_t;

/* Limits that may change while the process runs; as in upstreams_desc_t. */
typedef struct upstreams_limits_t {
    double retry_ratio, retry_slack;
    uint32_t backoff_max_ms;
} upstreams_limits_t;

upstreams_t* upstreams_setup(const upstreams_desc_t* desc);
void upstreams_shutdown(upstreams_t* u);
void upstreams_set_limits(upstreams_t* u, const upstreams_limits_t* limits);
/* Creates and updates the declared pools. Other pools get no new servers. Call upstreams_set_servers afterwards. */
void upstreams_set_catalog(upstreams_t* u, const cw_catalog_t* catalog);
/* Clears the revisions at which servers were listed: the source was restored from an older copy, which gives them out
   again. Until servers are listed again, their start times decide which incarnation is the current one. */
void upstreams_reset_revisions(upstreams_t* u);
/* Applies a server list. after_outage: the source was unavailable for long before, so servers that are missing from the
   list get time to be listed again. Returns the number of servers that changed. */
uint32_t upstreams_set_servers(upstreams_t* u, int64_t now_ms, const cw_servers_t* list, bool after_outage);
/* Highest number of daemons ever known at the same time. Limits on connections and retries are divided by it, or by the
   number of those that are live or missing (upstreams_set_fleet) if that is higher. */
void upstreams_set_peak_daemons(upstreams_t* u, uint32_t daemons);
/* The live daemons. Their ids must stay valid until the next call. */
void upstreams_set_fleet(upstreams_t* u, const cw_fleet_t* fleet);
const cw_fleet_t* upstreams_fleet(const upstreams_t* u);
pool_t* upstreams_pool(const upstreams_t* u, const char* name);
pool_t* upstreams_pools(const upstreams_t* u);
server_t* upstreams_server(const upstreams_t* u, uint64_t key);
/* For how long the server has sent nothing although it owes this host a response; 0: it owes none. */
int64_t server_silent_ms(const server_t* server, int64_t now_ms);
/* Logs that no connection to the server could be opened, and when others of its pool were last heard: if none was, the
   path of this host is a likelier cause than the server. */
void server_log_unreachable(const server_t* server, int64_t now_ms);
/* Logs the start or end of a suspicion, if it differs from was_suspected, an earlier result of cw_balance_is_suspected.
   host: id of the host whose report changed it, 0: this host. */
void server_log_suspicion(const server_t* server, int64_t now_ms, bool was_suspected, uint64_t host);
/* Logs the advertised rate of the server if it differs from previous_per_s. host: id of the host whose report changed
   the rate, 0: this host. */
void server_log_rate_limit(const server_t* server, int64_t now_ms, double previous_per_s, uint64_t host);
/* The server has reported its start time. If it belongs to another incarnation, retires this one and returns true. */
bool upstreams_check_incarnation(upstreams_t* u, int64_t now_ms, server_t* server, int64_t started_ms);
/* This incarnation has announced that it stops: it gets no new requests, whatever the source lists. */
void upstreams_mark_leaving(upstreams_t* u, int64_t now_ms, server_t* server);
/* Treats this incarnation as ended until a server list says otherwise. */
void upstreams_mark_retired(upstreams_t* u, int64_t now_ms, server_t* server);
/* Longest time that connecting to the server may take. */
double upstreams_connect_limit_ms(const server_t* server);
/* Evaluates the head of any response from the server that this host received or forwarded, interim responses included.
   sent_ms: when the request of this response was sent, or an earlier time if that is unknown. */
void server_read_pushback(server_t* server, const cw_message_t* head, int64_t sent_ms);
/* Another host has reported that a connection to the server failed at at_ms. */
void upstreams_on_failure_reported(server_t* server, int64_t at_ms);
/* The host resumed from suspend: closes idle connections, which servers may have closed meanwhile without notice. */
void upstreams_on_resume(upstreams_t* u);
/* Time, ms, since this host read from all servers what had arrived; more may wait. */
int64_t upstreams_unread_ms(const upstreams_t* u);
/* Closes expired idle connections, removes expired servers and probes unreachable ones. */
void upstreams_tick(upstreams_t* u, int64_t now_ms);
uint32_t upstreams_connections(const upstreams_t* u);
uint64_t upstreams_connections_opened(const upstreams_t* u);
/* Connections to servers that were opened through other hosts. */
uint64_t upstreams_tunnels_opened(const upstreams_t* u);
/* How often a listed server was rejected because max_servers were known. */
uint64_t upstreams_servers_rejected(const upstreams_t* u);
/* Uses a larger subset of the pool, because a request found no free slot in the current one. False: the whole pool is
   used already, or the subset was expanded a moment ago. */
bool upstreams_expand_subset(pool_t* pool, int64_t now_ms);

/* Returns an idle connection, or a new one that calls on_open later. at_most_once: the request must not be sent twice,
   so no connection is used that has been idle for long. NULL: the limit of connections is reached, or connecting
   failed. */
upstream_conn_t* upstream_conn_acquire(server_t* server, const upstream_conn_handlers_t* handlers, void* owner,
                                       bool at_most_once);
bool upstream_conn_is_open(const upstream_conn_t* conn);
/* Whether the process behind the connection may be a later one than the list describes, and its version another. */
bool upstream_conn_is_doubted(const upstream_conn_t* conn);
/* Whether the connection goes through another host. */
bool upstream_conn_is_tunneled(const upstream_conn_t* conn);
/* When the server last sent data over this connection; 0: never. */
int64_t upstream_conn_received_ms(const upstream_conn_t* conn);
/* Sends a request. is_bodiless: its response has no body, whatever its head says. */
void upstream_conn_send(upstream_conn_t* conn, const char* request_id, bool is_bodiless, const cw_buffer_t* head,
                        const void* body, size_t size);
void upstream_conn_pause(upstream_conn_t* conn, bool is_paused);
/* Ends the owner's use after on_complete. The connection is kept open for reuse where possible. */
void upstream_conn_release(upstream_conn_t* conn);
/* Closes the connection without completing the response. */
void upstream_conn_close(upstream_conn_t* conn);

#endif
