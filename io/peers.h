#ifndef CW_IO_PEERS_H
#define CW_IO_PEERS_H
/*
    Connections between daemons: framed msgpack messages over TCP and gossip
    datagrams over UDP, both on the same port number. A TCP connection
    ("link") is opened for the first message to a host and closed after an
    idle timeout. Messages queued in one iteration of the event loop are sent
    with one system call.
*/
#include <ev.h>

#include "../chalkway_wire.h"
#include "address.h"

typedef struct cw_peers_t cw_peers_t;

typedef struct cw_peers_desc_t {
    struct ev_loop* loop;
    const char* address;      /* IP:PORT; port 0: the kernel picks one */
    const char* cluster;      /* peers of another cluster are refused */
    uint64_t host;            /* id of this host */
    uint32_t max_links;       /* default 512 */
    uint32_t idle_timeout_ms; /* a link without a frame for this long is closed, default 60000 */
    size_t max_unsent_bytes;  /* bytes queued on one link before sends fail, default 8 MiB */
    /* NULL: no links are opened or accepted, only gossip is exchanged. */
    void (*on_message)(void* user_data, uint64_t from, const cw_msg_t* msg);
    /* The link was closed or could not be opened. connection_refused: connecting failed with ECONNREFUSED, so no
       process listens at the address. */
    void (*on_closed)(void* user_data, uint64_t host, bool connection_refused);
    void (*on_gossip)(void* user_data, const cw_gossip_t* gossip);
    /* A peer violated the protocol or belongs to another cluster; the link is closed, a datagram is ignored. May be
       NULL. */
    void (*on_protocol_error)(void* user_data, const cw_error_t* err);
    void* user_data;
} cw_peers_desc_t;

typedef struct cw_peers_stats_t {
    uint64_t bytes_in, bytes_out, frames_in, frames_out; /* over TCP */
    uint64_t gossip_bytes_in, gossip_bytes_out;
    uint32_t links;
} cw_peers_stats_t;

cw_peers_t* cw_peers_setup(const cw_peers_desc_t* desc, cw_error_t* err);
void cw_peers_shutdown(cw_peers_t* p);
const char* cw_peers_address(const cw_peers_t* p);
/* Queues a message and opens a link if there is none. CW_ERR_IO: the last attempt to connect failed and its backoff
   has not passed, or no socket can be opened. CW_ERR_FULL: max_links or max_unsent_bytes is reached. */
cw_status_t cw_peers_send(cw_peers_t* p, uint64_t host, const char* address, const cw_msg_t* msg);
/* Opens a link to the host if there is none, without sending a message. */
void cw_peers_connect(cw_peers_t* p, uint64_t host, const char* address);
/* Sends a datagram to IP:PORT. Errors are ignored: gossip tolerates loss. */
void cw_peers_send_gossip(cw_peers_t* p, const char* to, const cw_gossip_t* gossip);
cw_peers_stats_t cw_peers_stats(const cw_peers_t* p);

#endif
