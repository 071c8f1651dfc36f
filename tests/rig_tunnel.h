#ifndef CW_TEST_RIG_TUNNEL_H
#define CW_TEST_RIG_TUNNEL_H
/* A peer host that carries tunnels to the servers of a test rig, in the same event loop. */
#include "../gateway/tunnel.h"
#include "rig.h"

static inline bool rig_is_host(void* user, const struct sockaddr_in* address) {
    (void)user;
    (void)address;
    return true;
}

/* Starts the peer host, and breaks the direct path to server "s0". net: second number of the host's loopback address,
   one for each test program, so that several can run at once. */
static inline tunnels_t* rig_tunnel_setup(rig_t* r, int net) {
    cw_error_t err = {0};
    snprintf(r->tunnel_host, sizeof(r->tunnel_host), "127.%d.%d.%d:7204", net, 1 + getpid() / 250 % 250,
             1 + getpid() % 250);
    tunnels_t* tunnels = tunnels_setup(&(tunnels_desc_t){.loop = r->loop,
                                                         .log = &r->log,
                                                         .upstreams = r->upstreams,
                                                         .address = r->tunnel_host,
                                                         .cluster = "c",
                                                         .max_tunnels = 2,
                                                         .is_host = rig_is_host},
                                       &err);
    ck_assert_msg(tunnels != NULL, "%s", cw_error_text(&err).text);
    r->choose_tunnel_host = rig_restore_paths;
    rig_break_path(upstreams_server(r->upstreams, cw_name_id("s0")));
    return tunnels;
}

#endif
