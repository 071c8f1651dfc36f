#ifndef CW_GATEWAY_UPSTREAM_PARTS_H
#define CW_GATEWAY_UPSTREAM_PARTS_H
/*
    What the parts of the upstreams share: upstream.c knows the pools, their servers and their probes, link.c the
    connections to one server.
*/
#include "../chalkway_map.h"
#include "upstream.h"

#define DEPARTED_MAX 1024
#define SERVERS_MAX 4096 /* bound of all pools' servers where the description gives none */

struct link_t {
    server_t* server;
    const link_handlers_t* handlers;
    void* owner; /* NULL: idle */
    cw_stream_t stream;
    cw_message_t answer;
    char request_id[CW_NAME_MAX * 2];
    bool sent;
    int64_t sent_ms; /* the request, 0: no one yet */
    bool skipping;   /* the answer being read belongs to an earlier request */
    bool unsound;    /* not to be used again */
    bool dead;       /* closed; freed with the next tick, since it may still be read from */
    int64_t begun_ms;
    int64_t rested_ms; /* idle since */
    uint32_t keep_ms;  /* that the server keeps it idle */
    ev_timer connect_timer;
    link_t* next_idle;
};

struct upstreams_t {
    upstreams_desc_t desc;
    pool_t* pools;
    cw_map_t by_key;    /* a server's key to its place */
    cw_map_t by_name;   /* its name to the place of its present life */
    server_t** servers; /* by place, NULL: free; those that are gone but still used among them */
    uint32_t capacity;  /* places for which there is memory */
    uint32_t* free_places;
    uint32_t free_count;
    uint64_t refused_total;
    uint64_t refused;        /* servers of the list for which there was no place, since the last line on them */
    int64_t refused_told_ms; /* when that was, 0: never */
    server_t** watched;      /* that upstreams_tick looks at; room for capacity */
    uint32_t watched_count;
    uint64_t departed[DEPARTED_MAX]; /* keys of lives that said they leave and are known no more, as a ring */
    uint32_t departed_at;
    link_t* dead; /* to be freed */
    uint32_t daemons;
    cw_fleet_t fleet; /* daemons that live */
    uint32_t links;
    uint64_t connects;
    bool configured; /* which pools there are is known */
};

/* -- pushback.c ----------------------------------------------------------- */

/* The head of any answer that came over a connection to the server, interim ones too. sent_ms: when the request that it
   answers was sent, at the latest. */
void server_hear(server_t* s, const cw_message_t* head, int64_t sent_ms);

/* -- upstream.c ----------------------------------------------------------- */

/* upstreams_tick looks at the server from now on, until it has no connection at rest and is neither gone nor missing:
   most servers of a large fleet are like that. */
void server_watch(server_t* s);

/* -- link.c --------------------------------------------------------------- */

/* Closes the server's connections at rest: all of them, or those that rested for too long. */
void link_close_idle(server_t* s, int64_t now_ms, bool all);
/* Frees the connections that were closed. None of them may be in use further up the stack. */
void link_free_dead(upstreams_t* u);

#endif
