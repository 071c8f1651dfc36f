#ifndef CW_IO_PEERS_H
#define CW_IO_PEERS_H
/*
    Links to the other daemons: framed msgpack over TCP, gossip over UDP,
    both on the same port. A link is opened when there is something to send,
    kept while it is used and closed when idle. What is sent in one turn of
    the loop leaves in one write.
*/
#include <ev.h>

#include "../chalkway_wire.h"
#include "address.h"

typedef struct cw_peers_t cw_peers_t;

typedef struct cw_peers_desc_t {
    struct ev_loop* loop;
    const char* address; /* IP:PORT, port 0 for any */
    const char* cluster; /* others are refused */
    uint64_t host;       /* own id */
    uint32_t max_links;  /* default 512 */
    uint32_t idle_ms;    /* default 60000 */
    size_t max_unsent;   /* bytes waiting on one link, default 8 MiB */
    void (*on_message)(void* user_data, uint64_t from, const cw_msg_t* msg);
    /* The link ended; refused: the host's machine answers that nobody listens at the address. */
    void (*on_closed)(void* user_data, uint64_t host, bool refused);
    void (*on_gossip)(void* user_data, const cw_gossip_t* gossip);
    void (*on_refused)(void* user_data, const cw_error_t* err); /* a peer broke the protocol */
    void* user_data;
} cw_peers_desc_t;

typedef struct cw_peers_stats_t {
    uint64_t bytes_in, bytes_out, frames_in, frames_out; /* TCP */
    uint64_t gossip_bytes_in, gossip_bytes_out;
    uint32_t links;
} cw_peers_stats_t;

cw_peers_t* cw_peers_setup(const cw_peers_desc_t* desc, cw_error_t* err);
void cw_peers_shutdown(cw_peers_t* p);
const char* cw_peers_address(const cw_peers_t* p);
/* Queues a message; CW_ERR_IO when the host could not be reached shortly before, CW_ERR_FULL when too much waits. */
cw_status_t cw_peers_send(cw_peers_t* p, uint64_t host, const char* address, const cw_msg_t* msg);
/* Opens a link to the host if there is none. */
void cw_peers_open(cw_peers_t* p, uint64_t host, const char* address);
void cw_peers_gossip(cw_peers_t* p, const char* to, const cw_gossip_t* gossip);
cw_peers_stats_t cw_peers_stats(const cw_peers_t* p);

#endif
