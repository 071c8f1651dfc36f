/* Network paths to servers. While this host can't connect to a server, but another host can, connections to it go
   through a tunnel: the other host forwards the bytes in both directions (tunnel.h). Requests, responses and all
   decisions about them stay here. */
#include <stdlib.h>

#include "../io/address.h"
#include "clock.h"
#include "upstream_internal.h"

#define TUNNEL_FAILURE_MS 1000 /* a host that opened no tunnel is not asked again for this time */
#define REPLY_MAX_BYTES 64     /* body of a reply; a longer one is invalid */
/* Path checks begin when all servers of a pool with requests have been silent for this time, and are then repeated at
   this interval. */
#define SILENCE_MS 250
#define SILENCE_CHECK_INTERVAL_MS 1000
/* A server that crashed is not back after this time, so a tunnel that opens shows that it did not crash. */
#define CRASH_REFUTED_MS 1000

/* -- tunnels -------------------------------------------------------------- */

bool upstream_path_prefers_tunnel(const server_t* s) {
    return s->is_path_broken || s->pool->reach.is_cut;
}

/* Writes the hosts that are not to be asked for a tunnel; returns their number. */
static uint32_t list_excluded_hosts(const upstream_conn_t* conn, uint64_t* out) {
    const upstreams_t* u = conn->server->pool->upstreams;
    int64_t now_ms = clock_ms();
    uint32_t count = 0;
    for (uint32_t i = 0; i < conn->path.tunnel_host_count; i++) {
        out[count++] = conn->path.tunnel_hosts[i];
    }
    for (uint32_t i = 0; i < TUNNEL_FAILURES_MAX; i++) {
        if (now_ms < u->tunnel_failures[i].until_ms) {
            out[count++] = u->tunnel_failures[i].host;
        }
    }
    return count;
}

/* Hosts share out the servers, so that each carries the connections to some of them. */
static const cw_member_info_t* choose_host(const upstream_conn_t* conn) {
    const server_t* s = conn->server;
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    uint64_t excluded[TUNNEL_ATTEMPTS_MAX + TUNNEL_FAILURES_MAX];
    if (!desc->choose_tunnel_host || conn->path.is_direct_only || conn->path.tunnel_host_count == TUNNEL_ATTEMPTS_MAX) {
        return NULL;
    }
    uint32_t count = list_excluded_hosts(conn, excluded);
    return desc->choose_tunnel_host(desc->user_data, s->pool, cw_mix(desc->host, s->key), excluded, count);
}

bool upstream_path_start_tunnel(upstream_conn_t* conn) {
    conn_path_t* path = &conn->path;
    for (const cw_member_info_t* host = choose_host(conn); host; host = choose_host(conn)) {
        struct sockaddr_in address;
        path->tunnel_hosts[path->tunnel_host_count++] = host->id;
        cw_buffer_free(&path->reply);
        if (cw_addr_parse(host->peer, &address, NULL) == CW_OK && upstream_conn_connect(conn, &address)) {
            path->phase = CONN_TUNNEL_CONNECTING;
            path->is_tunneled = true;
            return true;
        }
    }
    return false;
}

bool upstream_path_start_direct(upstream_conn_t* conn) {
    conn_path_t* path = &conn->path;
    if (path->has_direct_failed || !upstream_conn_connect(conn, &conn->server->address)) {
        return false;
    }
    path->phase = CONN_CONNECTING;
    path->is_tunneled = false;
    return true;
}

void upstream_path_request_tunnel(upstream_conn_t* conn) {
    upstreams_t* u = conn->server->pool->upstreams;
    cw_msg_t msg = {.type = CW_MSG_TUNNEL_OPEN};
    msg.tunnel_open.host = u->desc.host;
    msg.tunnel_open.server = conn->server->key;
    msg.tunnel_open.accepts_frames = true;
    cw_copy(msg.tunnel_open.cluster, sizeof(msg.tunnel_open.cluster), u->desc.cluster);
    u->wire = u->wire ? u->wire : cw_wire_setup(NULL);
    cw_bytes_t frame = cw_wire_encode_frame(u->wire, &msg);
    conn->path.phase = CONN_TUNNEL_OPENING;
    cw_stream_write(&conn->stream, frame.data, frame.size);
    cw_stream_flush(&conn->stream);
}

bool upstream_path_read_reply(upstream_conn_t* conn, const char* data, size_t size, cw_tunnel_result_t* result) {
    cw_msg_t msg;
    cw_buffer_t* reply = &conn->path.reply;
    cw_buffer_add(reply, data, size);
    /* A server sends nothing before it has got a request, so nothing follows the reply. */
    cw_status_t status = cw_wire_decode_single_frame(conn->server->pool->upstreams->wire, reply->data, reply->size,
                                                     REPLY_MAX_BYTES, &msg);
    if (status == CW_ERR_FULL) {
        return false;
    }
    cw_buffer_free(reply);
    bool is_valid = status == CW_OK && msg.type == CW_MSG_TUNNEL_REPLY;
    *result = is_valid ? msg.tunnel_reply.result : CW_TUNNEL_REFUSED;
    conn->path.is_framed = *result == CW_TUNNEL_OPENED && msg.tunnel_reply.is_framed;
    return true;
}

void upstream_path_tunnel_failed(upstream_conn_t* conn) {
    upstreams_t* u = conn->server->pool->upstreams;
    u->tunnel_failures[u->next_tunnel_failure++ % TUNNEL_FAILURES_MAX] = (tunnel_failure_t){
        .host = conn->path.tunnel_hosts[conn->path.tunnel_host_count - 1], .until_ms = clock_ms() + TUNNEL_FAILURE_MS};
}

/* -- paths ---------------------------------------------------------------- */

static void on_reach_changed(pool_t* pool) {
    const upstreams_desc_t* desc = &pool->upstreams->desc;
    cw_log(desc->log, pool->reach.is_cut ? CW_EVENT_POOL_CUT : CW_EVENT_POOL_REACHED, "pool=%s broken=%u ready=%u",
           pool->name, pool->reach.broken_count, pool->ready);
    if (desc->on_reach_changed) {
        desc->on_reach_changed(desc->user_data, pool);
    }
}

static void log_path(const server_t* s, uint64_t host) {
    cw_log(s->pool->upstreams->desc.log, s->is_path_broken ? CW_EVENT_PATH_BROKEN : CW_EVENT_PATH_RESTORED,
           "server=%s pool=%s peer=%s tunnel_host=%016llx", s->published.id, s->pool->name, s->published.address,
           (unsigned long long)host);
}

static void restore_path(server_t* s) {
    if (s->is_path_broken) {
        s->is_path_broken = false;
        cw_reach_on_path_restored(&s->pool->reach);
        log_path(s, 0);
    }
}

void upstream_path_forget(server_t* s) {
    bool was_cut = s->pool->reach.is_cut;
    restore_path(s);
    if (was_cut && !s->pool->reach.is_cut) {
        on_reach_changed(s->pool);
    }
}

/* A connection that broke shortly before the path did was broken by it: the server did not crash. */
static void refute_crash(server_t* s) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    if (s->presumed_crash_ms && clock_ms() - s->presumed_crash_ms < CRASH_REFUTED_MS && desc->on_server_alive) {
        s->presumed_crash_ms = 0;
        desc->on_server_alive(desc->user_data, s);
    }
}

/* Open connections may live on while new ones are refused. If new ones hang, the open ones are dead as well. */
static void break_path(const upstream_conn_t* conn) {
    server_t* s = conn->server;
    pool_t* pool = s->pool;
    s->is_path_broken = true;
    log_path(s, conn->path.tunnel_hosts[conn->path.tunnel_host_count - 1]);
    pool->is_path_silent = conn->path.was_silent;
    bool is_cut_now = cw_reach_on_path_broken(&pool->reach, clock_ms(), pool->ready);
    for (server_t* other = pool->servers; other && conn->path.was_silent; other = other->next) {
        if (other == s || is_cut_now) {
            upstream_conn_close_idle_direct(other);
        }
    }
    if (is_cut_now) {
        on_reach_changed(pool);
    }
}

void upstream_path_on_open(const upstream_conn_t* conn) {
    server_t* s = conn->server;
    pool_t* pool = s->pool;
    if (conn->path.is_tunneled) {
        pool->upstreams->tunnels_opened++;
        refute_crash(s);
        if (conn->path.has_direct_failed || upstream_path_prefers_tunnel(s)) {
            upstream_continuity_on_path_broken(s);
        }
        if (conn->path.has_direct_failed && !s->is_path_broken) {
            break_path(conn);
        }
        return;
    }
    bool was_cut = cw_reach_on_connected(&pool->reach, clock_ms());
    for (server_t* other = pool->servers; other; other = other->next) {
        if (other == s || was_cut) {
            restore_path(other);
        }
    }
    if (was_cut) {
        on_reach_changed(pool);
    }
}

/* -- checks --------------------------------------------------------------- */

/* A server whose path is to be checked, in rotation. */
static server_t* choose_server(pool_t* pool, bool is_path_broken) {
    server_t* chosen = NULL;
    for (server_t* s = pool->servers; s; s = s->next) {
        if (!s->is_removed && s->is_path_broken == is_path_broken &&
            (!chosen || s->path_checked_ms < chosen->path_checked_ms)) {
            chosen = s;
        }
    }
    return chosen;
}

/* A server that owes a response. */
static server_t* choose_busy_server(const pool_t* pool) {
    for (server_t* s = pool->servers; s; s = s->next) {
        if (s->busy_conns && !s->is_removed && !upstream_path_prefers_tunnel(s)) {
            return s;
        }
    }
    return NULL;
}

static void check_path(pool_t* pool, int64_t now_ms) {
    cw_reach_check_t check = cw_reach_next_check(&pool->reach, now_ms);
    if (check == CW_REACH_CHECK_NONE) {
        return;
    }
    bool is_end_sought = check == CW_REACH_CHECK_BROKEN;
    server_t* s = choose_server(pool, is_end_sought);
    s = s ? s : choose_server(pool, !is_end_sought); /* those with broken paths may have been removed */
    if (s) {
        s->path_checked_ms = now_ms;
        upstream_conn_open_spare(s, is_end_sought);
    }
}

static void check_silence(pool_t* pool, int64_t now_ms) {
    int64_t heard_ms = pool->received_ms > pool->busy_since_ms ? pool->received_ms : pool->busy_since_ms;
    if (!pool->busy_conns || now_ms - heard_ms < SILENCE_MS ||
        now_ms - pool->silence_checked_ms < SILENCE_CHECK_INTERVAL_MS) {
        return;
    }
    server_t* s = choose_busy_server(pool);
    if (s) {
        pool->silence_checked_ms = now_ms;
        upstream_conn_open_spare(s, false);
    }
}

void upstream_path_tick(pool_t* pool, int64_t now_ms) {
    check_path(pool, now_ms);
    check_silence(pool, now_ms);
}
