#ifndef CW_GATEWAY_TUNNEL_H
#define CW_GATEWAY_TUNNEL_H
/*
    Tunnels for other hosts of the cluster that can't connect to a server themselves. A host connects to the peer
    address, asks for a server by the key of its incarnation (CW_MSG_TUNNEL_OPEN) and gets a reply. After that, bytes
    are forwarded in both directions until one side closes. The requests belong to the host that asked: it has their
    callers, counts them as its load and against its budgets.

    Only hosts of the cluster get tunnels, and only to servers that this host would send requests to itself. Responses
    are also read here: what they announce about their server holds for this host as well, since it is the one that the
    server sees. Idle tunnels are closed when their server leaves or asks this host to back off, and when this host
    stops.
*/
#include <netinet/in.h>

#include "../chalkway_log.h"
#include "upstream.h"

typedef struct tunnels_t tunnels_t;

typedef struct tunnels_desc_t {
    struct ev_loop* loop;
    const cw_log_t* log;
    upstreams_t* upstreams;
    const char* address; /* IP:PORT to listen at */
    const char* cluster;
    uint32_t max_tunnels;
    /* Whether a host of the cluster has this IP address. */
    bool (*is_host)(void* user_data, const struct sockaddr_in* address);
    void* user_data;
} tunnels_desc_t;

typedef struct tunnels_stats_t {
    uint32_t open;
    uint32_t busy; /* with a request whose response is not complete */
    uint64_t opened, refused;
    uint64_t bytes; /* forwarded in both directions */
} tunnels_stats_t;

tunnels_t* tunnels_setup(const tunnels_desc_t* desc, cw_error_t* err);
void tunnels_shutdown(tunnels_t* t);
/* Closes idle tunnels from now on and opens no further ones. */
void tunnels_drain(tunnels_t* t);
/* Closes idle tunnels whose server gets no requests from this host any more. */
void tunnels_tick(tunnels_t* t);
tunnels_stats_t tunnels_stats(const tunnels_t* t);

#endif
