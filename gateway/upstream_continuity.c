/* Servers that may have started again since their list entry was read (chalkway_continuity.h). Until that is settled,
   no stream is resumed there, and none begins there while another server can be used. */
#include "clock.h"
#include "upstream_internal.h"

/* Shortest time between two attempts to reach a server that is doubted. */
#define REACH_INTERVAL_MS 500

static void log_change(const server_t* s) {
    const cw_continuity_t* c = &s->continuity;
    cw_log(s->pool->upstreams->desc.log, c->is_doubted ? CW_EVENT_SERVER_DOUBTED : CW_EVENT_SERVER_CONFIRMED,
           "server=%s pool=%s peer=%s version=%s ended_ms_ago=%lld refused=%s reported=%s", s->published.id,
           s->pool->name, s->published.address, s->published.version[0] ? s->published.version : "-",
           (long long)(clock_ms() - c->ended_ms), c->was_refused ? "yes" : "no", c->is_reported ? "yes" : "no");
}

void upstream_continuity_inform(const server_t* s) {
    const cw_continuity_t* c = &s->continuity;
    cw_balance_set_doubted(s->pool->balance, s->key, c->is_doubted, c->is_doubted && !c->is_reported);
    cw_balance_set_observed(s->pool->balance, s->key, c->conns > 0);
}

/* Informs the balancer, and logs if the doubt has begun or ended. */
static void update(server_t* s, bool was_doubted) {
    bool is_doubted = s->continuity.is_doubted;
    if (is_doubted || was_doubted) {
        upstream_continuity_inform(s);
    }
    if (is_doubted != was_doubted) {
        log_change(s);
    }
    if (is_doubted && !was_doubted && s->heard_ms > s->continuity.alive_ms) {
        s->heard_ms = s->continuity.alive_ms; /* what arrived later may be of another process */
    }
    if (is_doubted) {
        server_watch(s);
    }
}

static bool is_list_old(const upstreams_t* u, int64_t now_ms) {
    return u->list_confirmed_ms && now_ms - u->list_confirmed_ms > CW_CONTINUITY_OLD_MS;
}

void upstream_continuity_on_opened(upstream_conn_t* conn) {
    server_t* s = conn->server;
    bool was_doubted = s->continuity.is_doubted;
    bool is_first = !s->continuity.conns;
    conn->connected_ms = clock_ms();
    cw_continuity_on_opened(&s->continuity, conn->connected_ms, s->heard_ms);
    if (is_first && !was_doubted && is_list_old(s->pool->upstreams, conn->connected_ms)) {
        cw_continuity_on_unobserved(&s->continuity, conn->connected_ms, s->heard_ms);
    }
    if (is_first) {
        upstream_continuity_inform(s);
    }
    update(s, was_doubted);
}

void upstream_continuity_on_closed(upstream_conn_t* conn) {
    if (!conn->connected_ms) {
        return;
    }
    cw_continuity_on_closed(&conn->server->continuity);
    if (!conn->server->continuity.conns) {
        upstream_continuity_inform(conn->server);
    }
}

void upstream_continuity_on_end(const upstream_conn_t* conn, cw_stream_end_reason_t end) {
    server_t* s = conn->server;
    bool was_doubted = s->continuity.is_doubted;
    cw_continuity_on_end(&s->continuity, conn->arrived_ms, clock_ms(), conn->heard_ms, end == CW_STREAM_PEER_CLOSED);
    update(s, was_doubted);
}

void upstream_continuity_on_refused(server_t* s) {
    bool was_doubted = s->continuity.is_doubted;
    cw_continuity_on_refused(&s->continuity, clock_ms());
    update(s, was_doubted);
}

void upstream_continuity_on_data(const upstream_conn_t* conn) {
    server_t* s = conn->server;
    if (s->continuity.is_doubted) {
        cw_continuity_on_data(&s->continuity, conn->arrived_ms, conn->connected_ms);
        update(s, true);
    }
}

void upstream_continuity_on_path_broken(server_t* s) {
    if (s->continuity.is_doubted) {
        cw_continuity_on_path_broken(&s->continuity, clock_ms());
        update(s, true);
    }
}

void upstreams_on_failure_reported(server_t* s, int64_t at_ms) {
    bool was_doubted = s->continuity.is_doubted;
    cw_continuity_on_report(&s->continuity, at_ms);
    update(s, was_doubted);
}

bool upstream_conn_is_doubted(const upstream_conn_t* conn) {
    return cw_continuity_is_conn_doubted(&conn->server->continuity, conn->connected_ms);
}

/* Opens a connection to a doubted server, since a list counts only once the server has been reached. A server that only
   other hosts have seen end is left to those while they suspect it. */
static void reach(server_t* s, int64_t now_ms) {
    const cw_continuity_t* c = &s->continuity;
    bool is_left_to_others = c->is_reported && cw_balance_is_suspected(s->pool->balance, now_ms, s->key);
    if (!s->pool->has_resumable_streams || s->is_removed || c->reached_ms || is_left_to_others ||
        now_ms - s->reach_tried_ms < REACH_INTERVAL_MS) {
        return;
    }
    s->reach_tried_ms = now_ms;
    upstream_conn_open_spare(s, !upstream_path_prefers_tunnel(s));
}

void upstream_continuity_check_list(upstreams_t* u, int64_t now_ms) {
    int64_t age_ms = u->desc.list_age_ms ? u->desc.list_age_ms(u->desc.user_data) : 0;
    int64_t confirmed_ms = age_ms < 0 ? 0 : now_ms - age_ms;
    bool was_away = confirmed_ms - u->list_confirmed_ms > CW_CONTINUITY_AWAY_MS;
    u->list_fresh_since_ms = was_away ? confirmed_ms : u->list_fresh_since_ms;
    u->list_confirmed_ms = confirmed_ms;
}

void upstream_continuity_tick(server_t* s, int64_t now_ms) {
    const upstreams_t* u = s->pool->upstreams;
    if (!s->continuity.is_doubted) {
        return;
    }
    reach(s, now_ms);
    if (cw_continuity_on_list(&s->continuity, u->list_confirmed_ms, u->list_fresh_since_ms)) {
        update(s, true);
        u->desc.on_slot_free(u->desc.user_data, s->pool);
    }
}
