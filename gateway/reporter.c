#include "reporter.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../io/address.h"
#include "clock.h"
#include "reporter_internal.h"

#define FLUSH_DELAY_MS 1      /* delay before the start of requests is reported, so that several share a datagram */
#define END_FLUSH_DELAY_MS 50 /* delay before the end of requests is reported */
#define TRANSIT_MIN_MS 10     /* lower bound of the transit time that is assumed for a datagram */

static void flush(reporter_t* n);

/* -- the queue ------------------------------------------------------------ */

/* Sends the queued entries in as few datagrams as hold them. to_other_halls: only the entries for other halls,
   otherwise all. An empty queue is sent as one message without entries. Returns whether anything was sent. */
static bool send_queue(reporter_t* n, bool to_other_halls, void (*send)(reporter_t*, cw_load_message_t*)) {
    cw_load_message_t message = {0};
    bool is_sent = false;
    for (uint32_t i = 0; i < n->queue_count; i++) {
        if (to_other_halls && !n->queue[i].to_other_halls) {
            continue;
        }
        message.entries[message.count++] = n->queue[i].entry;
        if (message.count == CW_LOAD_ENTRIES) {
            send(n, &message);
            message.count = 0;
            is_sent = true;
        }
    }
    if (message.count || !n->queue_count) {
        send(n, &message);
        is_sent = true;
    }
    return is_sent;
}

static void forward_queue(reporter_t* n) {
    send_queue(n, false, reporter_send_to_hall);
    if (send_queue(n, true, reporter_send_to_other_halls)) {
        n->sent_ms = clock_ms();
    }
    n->queue_count = 0;
}

/* Merges a newer entry of the same host on the same server. Fails when the prompt parts of both don't fit one entry. */
static bool merge_entry(cw_load_entry_t* into, const cw_load_entry_t* from) {
    if (into->part_count + from->part_count > CW_LOAD_PARTS) {
        return false;
    }
    for (uint32_t i = 0; i < from->part_count; i++) {
        into->parts[into->part_count++] = from->parts[i];
    }
    into->load = from->load;
    into->leaving = into->leaving || from->leaving;
    return true;
}

static void queue_add(reporter_t* n, const cw_load_entry_t* entry, bool to_other_halls) {
    for (uint32_t i = n->queue_count; i-- > 0;) {
        queued_entry_t* q = &n->queue[i];
        if (q->entry.server == entry->server && q->entry.host == entry->host) {
            if (q->to_other_halls == to_other_halls && merge_entry(&q->entry, entry)) {
                return;
            }
            break; /* the new entry must follow this older one */
        }
    }
    if (n->queue_count == QUEUE_MAX) {
        forward_queue(n);
    }
    n->queue[n->queue_count++] = (queued_entry_t){.entry = *entry, .to_other_halls = to_other_halls};
}

/* -- load of this host ---------------------------------------------------- */

static bool make_entry(const reporter_t* n, const dirty_t* dirty, int64_t now_ms, cw_load_entry_t* entry) {
    const server_t* server = upstreams_server(n->desc.upstreams, dirty->server);
    uint32_t at = server ? cw_balance_find(server->pool->balance, server->key) : CW_BALANCE_NONE;
    bool is_balanced = at != CW_BALANCE_NONE;
    if (!server || (!is_balanced && !server->is_retired)) {
        return false; /* a leaving server is reported although the balancer has dropped it */
    }
    *entry =
        (cw_load_entry_t){.host = n->desc.host,
                          .server = dirty->server,
                          .leaving = server->is_retired,
                          .load = is_balanced ? cw_balance_own_load(server->pool->balance, now_ms, at) : (cw_load_t){0},
                          .part_count = dirty->part_count};
    memcpy(entry->parts, dirty->parts, sizeof(entry->parts));
    return true;
}

static void add_own_entry(reporter_t* n, cw_load_message_t* message, const dirty_t* dirty, int64_t now_ms) {
    cw_load_entry_t entry;
    if (!make_entry(n, dirty, now_ms, &entry)) {
        return;
    }
    if (n->is_relay) {
        queue_add(n, &entry, true);
        return;
    }
    message->entries[message->count++] = entry;
    if (message->count == CW_LOAD_ENTRIES) {
        reporter_send_to_relay(n, message);
        message->count = 0;
    }
}

/* Whether a datagram is due even if there is nothing to report: it shows that this host is alive and carries its source
   state. Relays that batch use the interval of the first rank, since the hosts of their hall receive datagrams from
   them only. */
static bool is_heartbeat_due(const reporter_t* n, int64_t now_ms) {
    bool sends_for_hall = n->plan.batch_ms && n->is_relay;
    return now_ms - n->sent_ms >= cw_load_heartbeat_interval_ms(sends_for_hall ? 0 : n->rank, n->live);
}

static void flush(reporter_t* n) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    reporter_refresh_peers(n);
    ev_timer_stop(n->desc.loop, &n->flush_timer);
    ev_timer_stop(n->desc.loop, &n->direct_timer);
    bool must_send_heartbeat = is_heartbeat_due(n, now_ms);
    for (uint32_t i = 0; i < n->dirty_count; i++) {
        add_own_entry(n, &message, &n->dirty[i], now_ms);
    }
    n->dirty_count = 0;
    n->flushed_ms = now_ms;
    if (!n->is_relay && (message.count || must_send_heartbeat)) {
        reporter_send_to_relay(n, &message);
        n->sent_ms = now_ms;
    }
    if (n->queue_count || (n->is_relay && must_send_heartbeat)) {
        forward_queue(n);
    }
    reporter_send_observations(n);
    reporter_send_streams(n);
}

static void on_flush_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    flush(w->data);
}

void reporter_flush_after(reporter_t* n, uint32_t ms) {
    if (!ev_is_active(&n->flush_timer)) {
        ev_timer_set(&n->flush_timer, ms / MS_PER_S, 0.0);
        ev_timer_start(n->desc.loop, &n->flush_timer);
    }
}

static dirty_t* get_dirty(reporter_t* n, uint64_t server) {
    for (uint32_t i = 0; i < n->dirty_count; i++) {
        if (n->dirty[i].server == server) {
            return &n->dirty[i];
        }
    }
    if (n->dirty_count == DIRTY_MAX) {
        flush(n);
    }
    dirty_t* d = &n->dirty[n->dirty_count++];
    *d = (dirty_t){.server = server};
    return d;
}

/* -- reports to owner hosts ----------------------------------------------- */

/* Reports this host's load at the engine to the engine's other owner hosts. */
static void report_to_owner_hosts(reporter_t* n, uint64_t server, int64_t now_ms) {
    uint64_t ids[HOSTS_MAX + 1];
    const peer_t* staying[HOSTS_MAX + 1];
    uint32_t owners[CW_OWNER_HOSTS];
    uint32_t hosts = 0;
    dirty_t dirty = {.server = server};
    cw_load_message_t message = {.count = 1};
    for (uint32_t i = 0; i < n->peer_count; i++) {
        if (!n->peers[i].is_leaving) {
            ids[hosts] = n->peers[i].id;
            staying[hosts++] = &n->peers[i];
        }
    }
    ids[hosts++] = n->desc.host;
    uint32_t count = cw_owner_list_others(server, n->desc.host, ids, hosts, owners);
    if (!count || !make_entry(n, &dirty, now_ms, &message.entries[0])) {
        return;
    }
    datagram_t d = reporter_encode(n, &message, CW_LOAD_NO_RELAY);
    for (uint32_t i = 0; i < count; i++) {
        reporter_send(n, staying[owners[i]], &d);
    }
}

static void on_direct_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    reporter_t* n = w->data;
    int64_t now_ms = clock_ms();
    reporter_refresh_peers(n);
    for (uint32_t i = 0; i < n->direct_count; i++) {
        report_to_owner_hosts(n, n->direct_servers[i], now_ms);
    }
    n->direct_count = 0;
}

/* In a large fleet, a change of load at an engine is reported to its owner hosts directly and not only by relays. */
static void schedule_owner_report(reporter_t* n, const server_t* server) {
    if (!n->plan.batch_ms || !server->pool->slots || n->direct_count == DIRTY_MAX) {
        return; /* reported by the relays, later */
    }
    for (uint32_t i = 0; i < n->direct_count; i++) {
        if (n->direct_servers[i] == server->key) {
            return;
        }
    }
    n->direct_servers[n->direct_count++] = server->key;
    if (!ev_is_active(&n->direct_timer)) {
        ev_timer_set(&n->direct_timer, FLUSH_DELAY_MS / MS_PER_S, 0.0);
        ev_timer_start(n->desc.loop, &n->direct_timer);
    }
}

/* -- changes at this host ------------------------------------------------- */

static void flush_soon(reporter_t* n) {
    reporter_flush_after(n, n->is_relay && n->plan.batch_ms ? n->plan.batch_ms : FLUSH_DELAY_MS);
}

void reporter_on_load(reporter_t* n, const server_t* server, const cw_work_t* work) {
    dirty_t* d = get_dirty(n, server->key);
    schedule_owner_report(n, server);
    bool is_urgent =
        work && (work->prompt_tokens || cw_balance_has_reject_limit(server->pool->balance, clock_ms(), server->key));
    if (!is_urgent) {
        return; /* reported with a later tick */
    }
    for (uint32_t i = 0; i < work->part_count && d->part_count < CW_LOAD_PARTS; i++) {
        d->parts[d->part_count++] = work->parts[i];
    }
    flush_soon(n);
}

void reporter_on_liveness(reporter_t* n, const server_t* server) {
    get_dirty(n, server->key);
    flush_soon(n);
}

void reporter_announce_cached(reporter_t* n, const server_t* server, const cw_prompt_part_t* parts, uint32_t count) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    reporter_refresh_peers(n);
    for (uint32_t i = 0; i < count; i += CW_LOAD_PARTS) {
        dirty_t batch = {.server = server->key};
        batch.part_count = count - i < CW_LOAD_PARTS ? count - i : CW_LOAD_PARTS;
        memcpy(batch.parts, &parts[i], batch.part_count * sizeof(*parts));
        add_own_entry(n, &message, &batch, now_ms);
    }
    if (message.count) {
        reporter_send_to_relay(n, &message);
    }
    if (n->queue_count) {
        forward_queue(n);
    }
}

/* Marks every server at which this daemon runs requests, or whose advertised limits it sends, so that all of them are
   reported again. */
static void mark_all_dirty(reporter_t* n, int64_t now_ms) {
    for (pool_t* pool = upstreams_pools(n->desc.upstreams); pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            uint32_t at = cw_balance_find(pool->balance, s->key);
            cw_load_t load = at == CW_BALANCE_NONE ? (cw_load_t){0} : cw_balance_own_load(pool->balance, now_ms, at);
            if (load.running || load.rate != CW_RATE_UNKNOWN || load.has_reject_limit) {
                get_dirty(n, s->key);
            }
        }
    }
    n->repeated_ms = now_ms;
}

void reporter_send_leaving_to(reporter_t* n, const peer_t* peer) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    for (pool_t* pool = upstreams_pools(n->desc.upstreams); pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            const dirty_t dirty = {.server = s->key};
            if (s->is_retired && make_entry(n, &dirty, now_ms, &message.entries[message.count]) &&
                ++message.count == CW_LOAD_ENTRIES) {
                datagram_t d = reporter_encode(n, &message, CW_LOAD_NO_RELAY);
                reporter_send(n, peer, &d);
                message.count = 0;
            }
        }
    }
    if (message.count) {
        datagram_t d = reporter_encode(n, &message, CW_LOAD_NO_RELAY);
        reporter_send(n, peer, &d);
    }
}

/* -- receiving ------------------------------------------------------------ */

static void apply_entry(reporter_t* n, const cw_load_entry_t* entry, int64_t now_ms) {
    server_t* server = upstreams_server(n->desc.upstreams, entry->server);
    if (!server) {
        n->stats.unknown++; /* another incarnation, or a server of a list that this host doesn't have yet */
        return;
    }
    cw_balance_t* balance = server->pool->balance;
    bool was_suspected = cw_balance_is_suspected(balance, now_ms, entry->server);
    double previous_per_s = cw_balance_rate_per_s(balance, now_ms, entry->server);
    cw_balance_on_peer_load(balance, now_ms, entry->host, entry->server, &entry->load);
    if (entry->load.rate != CW_RATE_UNKNOWN) {
        server_log_rate_limit(server, now_ms, previous_per_s, entry->host);
    }
    if (entry->load.failed_ago_ms) {
        upstreams_on_failure_reported(server, now_ms - entry->load.failed_ago_ms);
    }
    if (entry->load.failed_ago_ms || entry->load.answered_ago_ms) {
        server_log_suspicion(server, now_ms, was_suspected, entry->host);
    }
    for (uint32_t i = 0; i < entry->part_count; i++) {
        cw_balance_on_peer_prompt(balance, entry->server, &entry->parts[i]);
    }
    if (entry->leaving) {
        upstreams_mark_retired(n->desc.upstreams, now_ms, server);
    }
}

/* Applies the entries of other hosts, and queues those that this host is to forward. */
static void apply_message(reporter_t* n, const cw_load_message_t* message) {
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < message->count; i++) {
        const cw_load_entry_t* entry = &message->entries[i];
        if (entry->host == n->desc.host) {
            continue; /* sent back by a relay, which sends to its whole hall */
        }
        apply_entry(n, entry, now_ms);
        if (message->scope != CW_LOAD_NO_RELAY) {
            queue_add(n, entry, message->scope == CW_LOAD_RELAY_TO_ALL);
            n->stats.forwarded++;
        }
    }
    if (!n->queue_count) {
        return;
    }
    reporter_refresh_peers(n);
    if (n->plan.batch_ms) {
        reporter_flush_after(n, n->plan.batch_ms);
    } else {
        forward_queue(n);
    }
}

/* Upper bound of the age of a datagram that is read now. It may have waited in the socket for as long as this process
   stalled. */
static uint32_t max_delay_ms(const reporter_t* n, int64_t now_ms) {
    int64_t waited_ms = n->previous_tick_ms ? now_ms - n->previous_tick_ms : 0;
    if (n->resumed_ms && now_ms - n->resumed_ms < CLOCK_READ_LATE_MS) {
        waited_ms = now_ms - n->resumed_ms + n->stall_ms;
    }
    return waited_ms > TRANSIT_MIN_MS ? (uint32_t)waited_ms : TRANSIT_MIN_MS;
}

/* Whether the host is in another hall; a host that is not known counts as such. */
static bool is_remote(const reporter_t* n, uint64_t host) {
    const cw_member_t* member = n->members ? cw_members_find(n->members, host) : NULL;
    return !member || strcmp(member->info.hall, n->desc.settings->hall) != 0;
}

static void on_datagrams(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    reporter_t* n = w->data;
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t message;
    uint32_t delay_ms = max_delay_ms(n, clock_ms());
    struct sockaddr_in from;
    socklen_t from_size = sizeof(from);
    ssize_t size = 0;
    while ((size = recvfrom(n->fd, bytes, sizeof(bytes), MSG_DONTWAIT, (struct sockaddr*)&from, &from_size)) > 0) {
        if (reporter_receive_streams(n, bytes, (size_t)size, &from)) {
            n->stats.in++;
            continue;
        }
        if (cw_load_decode(&message, bytes, (size_t)size, NULL) != CW_OK || message.cluster != n->cluster) {
            n->stats.refused++;
            continue;
        }
        char share[CW_ADDR_TEXT_SIZE];
        from.sin_port = htons(n->share_port);
        cw_addr_format(&from, share);
        n->stats.in++;
        cw_source_state_add_age(&message.source_state, delay_ms);
        n->desc.on_source_state(n->desc.user_data, share, is_remote(n, message.host), &message.source_state);
        reporter_receive_observations(n, &message, delay_ms);
        apply_message(n, &message);
    }
}

/* -- interface ------------------------------------------------------------ */

void reporter_set_members(reporter_t* n, const cw_members_t* members, const reporter_position_t* position) {
    n->members = members;
    n->has_membership_changed = true;
    n->live = position->live;
    n->rank = position->rank;
    n->older_hosts = position->older;
}

void reporter_resend_all(reporter_t* n) {
    n->repeated_ms = 0;
    reporter_resend_observations(n);
}

void reporter_tick(reporter_t* n, int64_t now_ms) {
    n->previous_tick_ms = n->tick_ms;
    n->tick_ms = now_ms;
    /* A late tick may be followed by another one before the socket is read. */
    if (n->previous_tick_ms && now_ms - n->previous_tick_ms > REPORTER_STALL_MS) {
        n->resumed_ms = now_ms;
        n->stall_ms = now_ms - n->previous_tick_ms;
    }
    if (now_ms - n->repeated_ms >= n->plan.resend_ms) {
        mark_all_dirty(n, now_ms);
    }
    reporter_repeat_observations(n, now_ms);
    reporter_send_observations(n);
    reporter_send_streams(n);
    bool has_due_reports = n->dirty_count && now_ms - n->flushed_ms >= END_FLUSH_DELAY_MS;
    if (has_due_reports || is_heartbeat_due(n, now_ms)) {
        flush(n);
    }
}

reporter_stats_t reporter_stats(const reporter_t* n) {
    return n->stats;
}

/* -- setup ---------------------------------------------------------------- */

static uint16_t port_of(const char* address) {
    struct sockaddr_in addr;
    return cw_addr_parse(address, &addr, NULL) == CW_OK ? ntohs(addr.sin_port) : 0;
}

reporter_t* reporter_setup(const reporter_desc_t* desc, cw_error_t* err) {
    reporter_t* n = calloc(1, sizeof(*n));
    if (!n) {
        abort();
    }
    n->desc = *desc;
    n->cluster = cw_name_id(desc->settings->cluster);
    n->load_port = port_of(desc->settings->load);
    n->share_port = port_of(desc->settings->share);
    n->plan = cw_relay_plan(1);
    n->is_relay = true;
    n->live = 1;
    n->fd = cw_addr_bind_udp(desc->settings->load, err);
    if (n->fd < 0) {
        free(n);
        return NULL;
    }
    ev_io_init(&n->load_io, on_datagrams, n->fd, EV_READ);
    ev_timer_init(&n->flush_timer, on_flush_timer, FLUSH_DELAY_MS / MS_PER_S, 0.0);
    ev_timer_init(&n->direct_timer, on_direct_timer, FLUSH_DELAY_MS / MS_PER_S, 0.0);
    reporter_setup_inquiries(n);
    n->load_io.data = n->flush_timer.data = n->direct_timer.data = n;
    ev_io_start(desc->loop, &n->load_io);
    return n;
}

void reporter_shutdown(reporter_t* n) {
    ev_io_stop(n->desc.loop, &n->load_io);
    ev_timer_stop(n->desc.loop, &n->flush_timer);
    reporter_shutdown_inquiries(n);
    close(n->fd);
    free(n);
}
