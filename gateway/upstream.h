#ifndef CW_GATEWAY_UPSTREAM_H
#define CW_GATEWAY_UPSTREAM_H
/*
    Pools, their servers and the connections to them.

    A server is an id and a start: each life of it is a server of its own here, with its own key, so that nothing that
   was believed of one, told of one or done by one counts for another. Which life is the present one follows from the
   list: the later reading of the source says so, and where that can't be told the later start. Servers of pools that
   the configuration doesn't name are left out. A server's connections are kept within this daemon's part of what it
   takes from all. An answer belongs to a request only when it repeats the request's id: an answer to an earlier request
   is skipped, bytes after an answer end the connection.
*/
#include <ev.h>

#include "../chalkway_balance.h"
#include "../chalkway_catalog.h"
#include "../chalkway_limit.h"
#include "../chalkway_log.h"
#include "../chalkway_pushback.h"
#include "../chalkway_servers.h"
#include "../chalkway_subset.h"
#include "../io/message.h"
#include "../io/stream.h"
#include "dialect.h"

typedef struct upstreams_t upstreams_t;
typedef struct pool_t pool_t;
typedef struct server_t server_t;
typedef struct upstream_conn_t upstream_conn_t;

struct server_t {
    uint64_t key;  /* of this life: cw_server_life */
    uint64_t name; /* id of the id, the same for all its lives */
    cw_server_t published;
    int64_t listed_revision; /* revision of the source at which it was listed last, 0: not known */
    struct sockaddr_in address;
    pool_t* pool;
    bool left;             /* it is taken to be over, or departs */
    bool is_draining;      /* this life of it said that it leaves, in the list or in its answers: for good */
    bool gone;             /* left, or no longer published: gets nothing new */
    bool closed;           /* its hall is closed: it gets nothing new for now */
    bool is_listed;        /* in the list read last, leaving or not */
    int64_t expires_at_ms; /* not in the list: taken as gone then */
    bool is_probing;
    bool watched;                /* by upstreams_tick */
    int64_t presumed_crash_ms;   /* it was taken for ended then: it is listened for over older connections, 0: not */
    uint32_t open;               /* connections */
    upstream_conn_t* idle_conns; /* used last first */
    double connect_ms;           /* learned, 0: unknown */
    server_t* next;              /* of the pool */
};

struct pool_t {
    char name[CW_NAME_MAX];
    char health[CW_NAME_MAX * 2]; /* path, "" none */
    bool declared;                /* by the configuration in force */
    upstreams_t* upstreams;
    cw_balance_t* balance;
    uint32_t connections; /* that one server takes from all daemons, 0: no limit */
    uint32_t slots;       /* of an engine, 0: none */
    uint32_t memory_tokens;
    double cold_per_s;        /* requests a second that a cold server bears from all daemons, 0: no limit */
    double move_ms;           /* to fetch one token from another engine, 0: none can be fetched */
    double logged_prefill_ms; /* reading pace in the log's last line on it, ms a token; 0: none yet */
    cw_retry_window_t retries;
    server_t* servers;
    cw_subset_t subset;             /* of the listed ones, that are used */
    bool expired;                   /* one of its servers was missing for too long: to be listed anew */
    uint32_t listed;                /* servers that are not gone and stand in no closed hall */
    uint32_t ready;                 /* servers that may be chosen */
    uint32_t waiting[CW_URGENCIES]; /* requests of this daemon without a place, by urgency */
    pool_t* next;
};

typedef enum upstream_conn_failure_t {
    UPSTREAM_CONN_UNREACHABLE = 0, /* no connection came up: nothing was sent */
    UPSTREAM_CONN_RESET,           /* reset by the server */
    UPSTREAM_CONN_LOST,            /* nothing acknowledged in time */
    UPSTREAM_CONN_CLOSED,          /* ended before the answer was whole */
    UPSTREAM_CONN_MALFORMED        /* bytes that are no answer */
} upstream_conn_failure_t;

typedef struct upstream_conn_handlers_t {
    void (*on_open)(void* owner); /* connected: send now */
    void (*on_head)(void* owner, const cw_message_t* answer);
    void (*on_body)(void* owner, const char* data, size_t size);
    void (*on_complete)(void* owner);                                /* the answer's own end was seen */
    void (*on_broken)(void* owner, upstream_conn_failure_t failure); /* the link is closed and freed */
} upstream_conn_handlers_t;

typedef struct upstreams_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    const dialect_t* dialect;
    uint64_t hall; /* id of the own hall's name */
    uint64_t host; /* own id */
    double retry_ratio, retry_slack;
    uint32_t retry_window_ms;
    uint32_t max_links;   /* of this process */
    uint32_t max_servers; /* of all pools that are known at once, default 4096; memory is taken as they come */
    uint32_t rest_max_ms; /* a server that asks for a longer rest gets this, default 30 minutes */
    /* Whether this daemon, and no other one, sends to the server while it is cold; NULL: it does. */
    bool (*is_mine)(void* user_data, uint64_t server);
    /* A server goes on over a connection that is older than its presumed_crash_ms. May be NULL. */
    void (*on_alive)(void* user_data, const server_t* server);
    /* The server held callers back, or does no more: the others are to hear of it. May be NULL. */
    void (*on_pushback)(void* user_data, const server_t* server);
    /* A place may have come free in the pool. */
    void (*on_room)(void* user_data, pool_t* pool);
    void* user_data;
} upstreams_desc_t;

upstreams_t* upstreams_setup(const upstreams_desc_t* desc);
void upstreams_shutdown(upstreams_t* u);
/* Pools as declared; those that are gone stay until their last server is. The list of servers is to be set again. */
void upstreams_set_catalog(upstreams_t* u, const cw_catalog_t* catalog);
/* Servers as published. after_outage: nothing was known of the source for long before; entries that lapsed meanwhile
   are given time to come back. Returns how many changed. */
uint32_t upstreams_set_servers(upstreams_t* u, int64_t now_ms, const cw_servers_t* list, bool after_outage);
/* Most daemons that were ever known at once: they share connections and repeats. */
void upstreams_set_daemons(upstreams_t* u, uint32_t daemons);
/* The daemons that live; their ids must stay until the next call. */
void upstreams_set_fleet(upstreams_t* u, const cw_fleet_t* fleet);
pool_t* upstreams_pool(const upstreams_t* u, const char* name);
pool_t* upstreams_pools(const upstreams_t* u);
server_t* upstreams_server(const upstreams_t* u, uint64_t key);
/* Logs a suspicion of the server that began or ended since before was asked of cw_balance_suspected. host: whose word
   changed it, 0 this host's own. */
void server_log_life(const server_t* server, int64_t now_ms, bool before, uint64_t host);
/* Logs the rate that the server named where it differs from the one in force before; host as above. */
void server_log_limit(const server_t* server, int64_t now_ms, double before_per_s, uint64_t host);
/* What the server said of itself names another start: this life of it is over. True: it was not known to be. */
bool upstreams_check_incarnation(upstreams_t* u, int64_t now_ms, server_t* server, int64_t started_ms);
/* This life of the server said itself that it leaves: whatever the source goes on saying, it gets nothing new. */
void upstreams_mark_draining(upstreams_t* u, int64_t now_ms, server_t* server);
/* This life of the server is taken to be over, until a list of the source says otherwise. */
void upstreams_leaves(upstreams_t* u, int64_t now_ms, server_t* server);
/* The machine was suspended: connections at rest may have ended without a sign. */
void upstreams_on_wake(upstreams_t* u);
/* Closes idle connections in time and probes servers that are away. */
void upstreams_tick(upstreams_t* u, int64_t now_ms);
uint32_t upstreams_links(const upstreams_t* u);
uint64_t upstreams_connects(const upstreams_t* u);
/* Times that a server of the list found no place. */
uint64_t upstreams_refused(const upstreams_t* u);
/* A request found no place in the part of the pool that is used: a larger part is, from now on. False: it is the whole
   pool, or was widened a moment ago. */
bool upstreams_expand_subset(pool_t* pool, int64_t now_ms);

/* A connection to the server: an idle one, or a new one that calls on_open later. once: the request may not be sent
   twice, so a connection that rested long is not used. NULL: no connection may be had now. */
upstream_conn_t* upstream_conn_acquire(server_t* server, const upstream_conn_handlers_t* handlers, void* owner,
                                       bool once);
bool upstream_conn_is_open(const upstream_conn_t* link);
/* Sends a request. */
void upstream_conn_send(upstream_conn_t* link, const char* request_id, bool bodiless, const cw_buffer_t* head,
                        const void* body, size_t size);
void upstream_conn_pause(upstream_conn_t* link, bool paused);
/* The owner's use ends after on_complete: the connection is kept where it is sound. */
void upstream_conn_release(upstream_conn_t* link);
/* Cuts the connection. */
void upstream_conn_close(upstream_conn_t* link);

#endif
