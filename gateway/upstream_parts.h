#ifndef CW_GATEWAY_UPSTREAM_PARTS_H
#define CW_GATEWAY_UPSTREAM_PARTS_H
/*
    What the parts of the upstreams share: upstream.c knows the pools, their servers and their probes, link.c the
    connections to one server.
*/
#include "../chalkway_map.h"
#include "upstream.h"

#define DRAINED_MAX 1024
#define SERVERS_MAX_DEFAULT 4096 /* bound of all pools' servers where the description gives none */

struct upstream_conn_t {
    server_t* server;
    const upstream_conn_handlers_t* handlers;
    void* owner; /* NULL: idle */
    cw_stream_t stream;
    cw_message_t response;
    char request_id[CW_NAME_MAX * 2];
    bool is_request_sent;
    int64_t sent_ms;  /* the request, 0: no one yet */
    bool is_skipping; /* the answer being read belongs to an earlier request */
    bool must_close;  /* not to be used again */
    bool closed;      /* closed; freed with the next tick, since it may still be read from */
    int64_t opened_ms;
    int64_t idle_since_ms;    /* idle since */
    uint32_t idle_timeout_ms; /* that the server keeps it idle */
    ev_timer connect_timer;
    upstream_conn_t* next_conn;
};

struct upstreams_t {
    upstreams_desc_t desc;
    pool_t* pools;
    cw_map_t by_key;    /* a server's key to its place */
    cw_map_t by_name;   /* its name to the place of its present life */
    server_t** servers; /* by place, NULL: free; those that are gone but still used among them */
    uint32_t capacity;  /* places for which there is memory */
    uint32_t* free_indexes;
    uint32_t free_count;
    uint64_t rejected_total;
    uint64_t rejected_unlogged; /* servers of the list for which there was no place, since the last line on them */
    int64_t rejected_logged_ms; /* when that was, 0: never */
    server_t** watched;         /* that upstreams_tick looks at; room for capacity */
    uint32_t watched_count;
    uint64_t drained[DRAINED_MAX]; /* keys of lives that said they leave and are known no more, as a ring */
    uint32_t drained_next;
    upstream_conn_t* closed; /* to be freed */
    uint32_t daemons;
    cw_fleet_t fleet; /* daemons that live */
    uint32_t conn_total;
    uint64_t connects;
    bool is_configured; /* which pools there are is known */
};

/* -- pushback.c ----------------------------------------------------------- */

/* The head of any answer that came over a connection to the server, interim ones too. sent_ms: when the request that it
   answers was sent, at the latest. */
void server_read_pushback(server_t* s, const cw_message_t* head, int64_t sent_ms);

/* -- upstream.c ----------------------------------------------------------- */

/* upstreams_tick looks at the server from now on, until it has no connection at rest and is neither gone nor missing:
   most servers of a large fleet are like that. */
void server_watch(server_t* s);

/* -- link.c --------------------------------------------------------------- */

/* Closes the server's connections at rest: all of them, or those that rested for too long. */
void upstream_conn_close_idle(server_t* s, int64_t now_ms, bool all);
/* Frees the connections that were closed. None of them may be in use further up the stack. */
void upstream_conn_free_closed(upstreams_t* u);

#endif
