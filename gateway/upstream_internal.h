#ifndef CW_GATEWAY_UPSTREAM_INTERNAL_H
#define CW_GATEWAY_UPSTREAM_INTERNAL_H
/*
    Internal interface between the parts of upstreams: upstream.c manages pools, servers and probes, upstream_conn.c the
    connections to one server, upstream_path.c the network paths to servers, upstream_continuity.c what is known of
    servers that may have started again, pushback.c what servers announce in their responses.
*/
#include "../chalkway_map.h"
#include "../chalkway_tunnel_frame.h"
#include "../chalkway_wire.h"
#include "poll_time.h"
#include "upstream.h"

#define LEAVING_KEYS_MAX 1024
#define SERVERS_MAX_DEFAULT 4096 /* default of upstreams_desc_t.max_servers */

#define TUNNEL_ATTEMPTS_MAX 2 /* hosts that are asked for a tunnel before a server counts as unreachable */
#define TUNNEL_FAILURES_MAX 8 /* hosts remembered because they opened no tunnel */

typedef enum conn_phase_t {
    CONN_CONNECTING = 0,    /* to the server */
    CONN_TUNNEL_CONNECTING, /* to a host that is to open a tunnel to the server */
    CONN_TUNNEL_OPENING,    /* the host has been asked and has not replied yet */
    CONN_OPEN
} conn_phase_t;

/* How the connection reaches its server. */
typedef struct conn_path_t {
    conn_phase_t phase;
    bool is_direct_only; /* a check of the direct path */
    bool is_tunneled;
    bool has_direct_failed;                     /* the direct connection could not be opened */
    bool was_silent;                            /* and was not refused either */
    uint64_t tunnel_hosts[TUNNEL_ATTEMPTS_MAX]; /* hosts that have been asked for a tunnel */
    uint32_t tunnel_host_count;
    cw_buffer_t reply; /* bytes of an incomplete reply */
    bool is_framed;    /* the tunnel's host sends the server's bytes in frames */
    cw_tunnel_frames_t frames;
} conn_path_t;

/* A host that opened no tunnel lately. */
typedef struct tunnel_failure_t {
    uint64_t host;
    int64_t until_ms;
} tunnel_failure_t;

struct upstream_conn_t {
    server_t* server;
    const upstream_conn_handlers_t* handlers;
    void* owner; /* NULL: idle */
    cw_stream_t stream;
    cw_message_t response;
    char* request_id; /* of the last request sent; NULL: none yet */
    bool is_request_sent;
    int64_t sent_ms;            /* when the request was sent; 0: none yet */
    bool has_responded;         /* to an earlier request */
    bool is_skipping;           /* the response being read belongs to an earlier request */
    uint32_t skipped_responses; /* since the request was sent */
    size_t skipped_bytes;
    bool must_close; /* must not be reused */
    bool is_busy;    /* counted in busy_conns */
    bool is_closed;  /* freed by the next upstreams_tick, because its data may still be in use */
    conn_path_t path;
    int64_t opened_ms;    /* when connecting began */
    int64_t connected_ms; /* 0: not yet */
    int64_t received_ms;  /* when data of the server was last read; 0: never */
    int64_t heard_ms;     /* when that data arrived at the earliest; 0: never */
    int64_t arrived_ms;   /* what was read last arrived at this time at the earliest */
    bool has_unread;      /* as may what is read next, since the socket was not drained */
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
    poll_time_t poll_time;
    int64_t list_confirmed_ms;   /* when the list of servers was last current; 0: never */
    int64_t list_fresh_since_ms; /* since when the source has not been away */
    uint32_t daemons;            /* by which limits on connections and retries are divided */
    uint32_t peak_daemons;       /* most that were known at the same time */
    cw_fleet_t fleet;            /* live daemons */
    uint32_t conn_total;
    uint64_t conns_opened;
    cw_wire_t* wire; /* of the requests for tunnels; NULL: none was made yet */
    tunnel_failure_t tunnel_failures[TUNNEL_FAILURES_MAX];
    uint32_t next_tunnel_failure;
    uint64_t tunnels_opened;
    bool is_configured; /* a configuration has been set, so the declared pools are known */
};

/* -- upstream.c ----------------------------------------------------------- */

/* Has upstreams_tick check the server until the server has no idle connection and is neither removed nor missing from
   the list. Most servers of a large fleet are in that state and need no checks. */
void server_watch(server_t* s);

/* -- upstream_path.c ------------------------------------------------------ */

/* Whether new connections to the server are to go through another host. */
bool upstream_path_prefers_tunnel(const server_t* s);
/* Connects to another host that is to open a tunnel to the connection's server. False: no host is left to ask. */
bool upstream_path_start_tunnel(upstream_conn_t* conn);
/* No host has opened a tunnel: connects to the server directly, unless that was tried before. */
bool upstream_path_start_direct(upstream_conn_t* conn);
/* The host of the tunnel is connected: asks it for the tunnel. */
void upstream_path_request_tunnel(upstream_conn_t* conn);
/* Reads the host's reply; an invalid one counts as CW_TUNNEL_REFUSED. False: the reply is incomplete. */
bool upstream_path_read_reply(upstream_conn_t* conn, const char* data, size_t size, cw_tunnel_result_t* result);
/* The host that was asked last opened no tunnel, or its tunnel broke: it is not asked again for a moment. */
void upstream_path_tunnel_failed(upstream_conn_t* conn);
/* The connection is open: updates what is known of the path to the server. */
void upstream_path_on_open(const upstream_conn_t* conn);
/* The server is no longer used. */
void upstream_path_forget(server_t* s);
/* Checks broken paths, and the paths to servers that have been silent for long. */
void upstream_path_tick(pool_t* pool, int64_t now_ms);

/* -- upstream_continuity.c ------------------------------------------------- */

void upstream_continuity_on_opened(upstream_conn_t* conn);
void upstream_continuity_on_closed(upstream_conn_t* conn);
/* The connection has ended, not by this host. */
void upstream_continuity_on_end(const upstream_conn_t* conn, cw_stream_end_reason_t end);
/* No connection to the server could be opened, through other hosts neither. */
void upstream_continuity_on_refused(server_t* s);
void upstream_continuity_on_data(const upstream_conn_t* conn);
/* Another host has connected to the server, while this host can't. */
void upstream_continuity_on_path_broken(server_t* s);
/* Passes on to the balancer what is known of the server. */
void upstream_continuity_inform(const server_t* s);
/* Notes when the list was last current, and since when the source has not been away. */
void upstream_continuity_check_list(upstreams_t* u, int64_t now_ms);
/* Tries to reach a server in doubt, and ends the doubt when the list allows it. */
void upstream_continuity_tick(server_t* s, int64_t now_ms);

/* -- upstream_conn.c --------------------------------------------------------------- */

/* Begins to connect, and limits the time that this may take. False: the connection can't be opened. */
bool upstream_conn_connect(upstream_conn_t* conn, const struct sockaddr_in* address);
/* Closes the idle connections to the server: all, or those whose idle timeout has passed. */
void upstream_conn_close_idle(server_t* s, int64_t now_ms, bool closes_all);
/* Closes the idle connections to the server that do not go through another host. */
void upstream_conn_close_idle_direct(server_t* s);
/* Opens a connection that is kept idle for the next request. is_direct_only: not through another host. */
void upstream_conn_open_spare(server_t* s, bool is_direct_only);
/* Frees closed connections. No function further up the stack may use one of them. */
void upstream_conn_free_closed(upstreams_t* u);

#endif
