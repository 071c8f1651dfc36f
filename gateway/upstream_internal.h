#ifndef CW_GATEWAY_UPSTREAM_INTERNAL_H
#define CW_GATEWAY_UPSTREAM_INTERNAL_H
/*
    Internal interface between the parts of upstreams: upstream.c manages pools, servers and probes, upstream_conn.c the
    connections to one server, pushback.c what servers announce in their responses.
*/
#include "../chalkway_map.h"
#include "upstream.h"

#define LEAVING_KEYS_MAX 1024
#define SERVERS_MAX_DEFAULT 4096 /* default of upstreams_desc_t.max_servers */

struct upstream_conn_t {
    server_t* server;
    const upstream_conn_handlers_t* handlers;
    void* owner; /* NULL: idle */
    cw_stream_t stream;
    cw_message_t response;
    char request_id[CW_NAME_MAX * 2];
    bool is_request_sent;
    int64_t sent_ms;  /* when the request was sent; 0: none yet */
    bool is_skipping; /* the response being read belongs to an earlier request */
    bool must_close;  /* must not be reused */
    bool is_closed;   /* freed by the next upstreams_tick, because its data may still be in use */
    int64_t opened_ms;
    int64_t idle_since_ms;
    uint32_t idle_timeout_ms; /* time for which the server keeps an idle connection open */
    ev_timer connect_timer;
    upstream_conn_t* next_conn;
};

struct upstreams_t {
    upstreams_desc_t desc;
    pool_t* pools;
    cw_map_t by_key;    /* server key to index */
    cw_map_t by_id;     /* hash of the server id to the index of its current incarnation */
    server_t** servers; /* by index, NULL: free; includes removed servers that are still in use */
    uint32_t capacity;  /* allocated indexes */
    uint32_t* free_indexes;
    uint32_t free_count;
    uint64_t rejected_total;
    uint64_t rejected_unlogged; /* servers rejected since the last log line about rejected servers */
    int64_t rejected_logged_ms; /* time of that log line; 0: none yet */
    server_t** watched;         /* checked by upstreams_tick; has room for capacity */
    uint32_t watched_count;
    uint64_t leaving_keys[LEAVING_KEYS_MAX]; /* ring of the keys of leaving incarnations that were freed */
    uint32_t leaving_next;
    upstream_conn_t* closed_conns; /* list of connections to be freed */
    uint32_t daemons;
    cw_fleet_t fleet; /* live daemons */
    uint32_t conn_total;
    uint64_t conns_opened;
    bool is_configured; /* a configuration has been set, so the declared pools are known */
};

/* -- pushback.c ----------------------------------------------------------- */

/* Evaluates the head of any response from the server, interim responses included. sent_ms: when the request of this
   response was sent, or an earlier time if that is unknown. */
void server_read_pushback(server_t* s, const cw_message_t* head, int64_t sent_ms);

/* -- upstream.c ----------------------------------------------------------- */

/* Has upstreams_tick check the server until the server has no idle connection and is neither removed nor missing from
   the list. Most servers of a large fleet are in that state and need no checks. */
void server_watch(server_t* s);

/* -- upstream_conn.c --------------------------------------------------------------- */

/* Closes the idle connections to the server: all, or those whose idle timeout has passed. */
void upstream_conn_close_idle(server_t* s, int64_t now_ms, bool closes_all);
/* Frees closed connections. No function further up the stack may use one of them. */
void upstream_conn_free_closed(upstreams_t* u);

#endif
