#include "news.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../io/address.h"
#include "clock.h"
#include "news_parts.h"

#define MS_PER_S 1000.0
#define SLOW_FLUSH_MS 50 /* news of what ended waits so long */
#define TRANSIT_MS 10    /* least time that a datagram is taken to be under way */

static void flush(news_t* n);

/* -- the queue ------------------------------------------------------------ */

/* Sends the queued entries in as few datagrams as hold them; a message without any when the queue is empty. Returns
   whether anything was sent. */
static bool send_queue(news_t* n, bool far, void (*send)(news_t*, cw_load_message_t*)) {
    cw_load_message_t message = {0};
    bool sent = false;
    for (uint32_t i = 0; i < n->queue_count; i++) {
        if (far && !n->queue[i].far) {
            continue;
        }
        message.entries[message.count++] = n->queue[i].entry;
        if (message.count == CW_LOAD_ENTRIES) {
            send(n, &message);
            message.count = 0;
            sent = true;
        }
    }
    if (message.count || !n->queue_count) {
        send(n, &message);
        sent = true;
    }
    return sent;
}

static void pass_queue_on(news_t* n) {
    send_queue(n, false, news_send_to_hall);
    if (send_queue(n, true, news_send_to_other_halls)) {
        n->sent_ms = clock_ms();
    }
    n->queue_count = 0;
}

/* Adds what a newer entry of the same host says of the same server; false when the parts of both don't fit one. */
static bool entry_merge(cw_load_entry_t* into, const cw_load_entry_t* from) {
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

static void queue_add(news_t* n, const cw_load_entry_t* entry, bool far) {
    for (uint32_t i = n->queue_count; i-- > 0;) {
        queued_t* q = &n->queue[i];
        if (q->entry.server == entry->server && q->entry.host == entry->host) {
            if (q->far == far && entry_merge(&q->entry, entry)) {
                return;
            }
            break; /* what is added after it is newer */
        }
    }
    if (n->queue_count == QUEUE_MAX) {
        pass_queue_on(n);
    }
    n->queue[n->queue_count++] = (queued_t){.entry = *entry, .far = far};
}
/* -- own load ------------------------------------------------------------- */

static bool entry_of(const news_t* n, const dirty_t* dirty, int64_t now_ms, cw_load_entry_t* entry) {
    const server_t* server = upstreams_server(n->desc.upstreams, dirty->server);
    uint32_t at = server ? cw_balance_find(server->pool->balance, server->key) : CW_BALANCE_NONE;
    if (at == CW_BALANCE_NONE) {
        return false;
    }
    *entry = (cw_load_entry_t){.host = n->desc.host,
                               .server = dirty->server,
                               .leaving = server->left,
                               .load = cw_balance_load(server->pool->balance, now_ms, at),
                               .part_count = dirty->part_count};
    memcpy(entry->parts, dirty->parts, sizeof(entry->parts));
    return true;
}

static void own_add(news_t* n, cw_load_message_t* message, const dirty_t* dirty, int64_t now_ms) {
    cw_load_entry_t entry;
    if (!entry_of(n, dirty, now_ms, &entry)) {
        return;
    }
    if (n->is_relay) {
        queue_add(n, &entry, true);
        return;
    }
    message->entries[message->count++] = entry;
    if (message->count == CW_LOAD_ENTRIES) {
        news_send_to_relay(n, message);
        message->count = 0;
    }
}

/* It is time to say something, if only that this host lives and what it knows. Relays speak often, since the others
   hear nobody else. */
static bool is_quiet(const news_t* n, int64_t now_ms) {
    bool speaks_for_hall = n->plan.gather_ms && n->is_relay;
    return now_ms - n->sent_ms >= cw_load_quiet_ms(speaks_for_hall ? 0 : n->rank, n->live);
}

static void flush(news_t* n) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    news_read_members(n);
    ev_timer_stop(n->desc.loop, &n->flush_timer);
    ev_timer_stop(n->desc.loop, &n->direct_timer);
    bool quiet = is_quiet(n, now_ms);
    for (uint32_t i = 0; i < n->dirty_count; i++) {
        own_add(n, &message, &n->dirty[i], now_ms);
    }
    n->dirty_count = 0;
    n->flushed_ms = now_ms;
    if (!n->is_relay && (message.count || quiet)) {
        news_send_to_relay(n, &message);
        n->sent_ms = now_ms;
    }
    if (n->queue_count || (n->is_relay && quiet)) {
        pass_queue_on(n);
    }
    news_tell_marks(n);
}

static void on_flush(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    flush(w->data);
}

void news_flush_after(news_t* n, uint32_t ms) {
    if (!ev_is_active(&n->flush_timer)) {
        ev_timer_set(&n->flush_timer, ms / MS_PER_S, 0.0);
        ev_timer_start(n->desc.loop, &n->flush_timer);
    }
}

static dirty_t* dirty_get(news_t* n, uint64_t server) {
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

/* -- to home hosts -------------------------------------------------------- */

/* Tells the engine's other home hosts what this one has there. */
static void tell_homes(news_t* n, uint64_t server, int64_t now_ms) {
    uint64_t ids[HOSTS_MAX + 1];
    const peer_t* staying[HOSTS_MAX + 1];
    uint32_t homes[CW_HOME_HOSTS];
    uint32_t hosts = 0;
    dirty_t dirty = {.server = server};
    cw_load_message_t message = {.count = 1};
    for (uint32_t i = 0; i < n->peer_count; i++) {
        if (!n->peers[i].leaving) {
            ids[hosts] = n->peers[i].id;
            staying[hosts++] = &n->peers[i];
        }
    }
    ids[hosts++] = n->desc.host;
    uint32_t count = cw_home_others(server, n->desc.host, ids, hosts, homes);
    if (!count || !entry_of(n, &dirty, now_ms, &message.entries[0])) {
        return;
    }
    datagram_t d = news_datagram(n, &message, CW_LOAD_LAST);
    for (uint32_t i = 0; i < count; i++) {
        news_send(n, staying[homes[i]], &d);
    }
}

static void on_direct(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    news_t* n = w->data;
    int64_t now_ms = clock_ms();
    news_read_members(n);
    for (uint32_t i = 0; i < n->direct_count; i++) {
        tell_homes(n, n->direct[i], now_ms);
    }
    n->direct_count = 0;
}

/* In a large fleet what changes at an engine is told to its home hosts without waiting for relays. */
static void tell_homes_soon(news_t* n, const server_t* server) {
    if (!n->plan.gather_ms || !server->pool->slots || n->direct_count == DIRTY_MAX) {
        return; /* the relays' news tells it later */
    }
    for (uint32_t i = 0; i < n->direct_count; i++) {
        if (n->direct[i] == server->key) {
            return;
        }
    }
    n->direct[n->direct_count++] = server->key;
    if (!ev_is_active(&n->direct_timer)) {
        ev_timer_set(&n->direct_timer, FLUSH_MS / MS_PER_S, 0.0);
        ev_timer_start(n->desc.loop, &n->direct_timer);
    }
}

/* -- own changes ---------------------------------------------------------- */

static void flush_soon(news_t* n) {
    news_flush_after(n, n->is_relay && n->plan.gather_ms ? n->plan.gather_ms : FLUSH_MS);
}

void news_on_load(news_t* n, const server_t* server, const cw_work_t* work) {
    dirty_t* d = dirty_get(n, server->key);
    tell_homes_soon(n, server);
    if (!work || !work->prompt_tokens) {
        return; /* told with the next tick */
    }
    for (uint32_t i = 0; i < work->part_count && d->part_count < CW_LOAD_PARTS; i++) {
        d->parts[d->part_count++] = work->parts[i];
    }
    flush_soon(n);
}

void news_on_life(news_t* n, const server_t* server) {
    dirty_get(n, server->key);
    flush_soon(n);
}

void news_tell_kept(news_t* n, const server_t* server, const cw_work_part_t* parts, uint32_t count) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    news_read_members(n);
    for (uint32_t i = 0; i < count; i += CW_LOAD_PARTS) {
        dirty_t some = {.server = server->key};
        some.part_count = count - i < CW_LOAD_PARTS ? count - i : CW_LOAD_PARTS;
        memcpy(some.parts, &parts[i], some.part_count * sizeof(*parts));
        own_add(n, &message, &some, now_ms);
    }
    if (message.count) {
        news_send_to_relay(n, &message);
    }
    if (n->queue_count) {
        pass_queue_on(n);
    }
}

/* Everything that this daemon has anywhere is told again. */
static void repeat_all(news_t* n, int64_t now_ms) {
    for (pool_t* pool = upstreams_pools(n->desc.upstreams); pool; pool = pool->next) {
        for (server_t* s = pool->servers; s; s = s->next) {
            uint32_t at = cw_balance_find(pool->balance, s->key);
            bool told = at != CW_BALANCE_NONE && (cw_balance_load(pool->balance, now_ms, at).running ||
                                                  cw_balance_tells_limit(pool->balance, now_ms, s->key));
            if (told) {
                dirty_get(n, s->key);
            }
        }
    }
    n->repeated_ms = now_ms;
}

/* -- datagrams in --------------------------------------------------------- */

static void take_entry(news_t* n, const cw_load_entry_t* entry, int64_t now_ms) {
    server_t* server = upstreams_server(n->desc.upstreams, entry->server);
    if (!server) {
        n->stats.unknown++; /* another life of a server, or one of a list that has not come yet */
        return;
    }
    cw_balance_t* balance = server->pool->balance;
    bool suspected = cw_balance_suspected(balance, now_ms, entry->server);
    double limit_per_s = cw_balance_limit_per_s(balance, now_ms, entry->server);
    cw_balance_news(balance, now_ms, entry->host, entry->server, &entry->load);
    if (entry->load.rate != CW_RATE_UNKNOWN) {
        server_log_limit(server, now_ms, limit_per_s, entry->host);
    }
    if (entry->load.failed_ago_ms || entry->load.alive_ago_ms) {
        server_log_life(server, now_ms, suspected, entry->host);
    }
    for (uint32_t i = 0; i < entry->part_count; i++) {
        cw_balance_kept(balance, entry->server, &entry->parts[i]);
    }
    if (entry->leaving) {
        upstreams_leaves(n->desc.upstreams, now_ms, server);
    }
}

/* Other hosts' entries are taken over, and kept to be passed on where that is asked for. */
static void take_message(news_t* n, const cw_load_message_t* message) {
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < message->count; i++) {
        const cw_load_entry_t* entry = &message->entries[i];
        if (entry->host == n->desc.host) {
            continue; /* a relay told the whole hall */
        }
        take_entry(n, entry, now_ms);
        if (message->scope != CW_LOAD_LAST) {
            queue_add(n, entry, message->scope == CW_LOAD_FOR_ALL);
            n->stats.passed_on++;
        }
    }
    if (!n->queue_count) {
        return;
    }
    news_read_members(n);
    if (n->plan.gather_ms) {
        news_flush_after(n, n->plan.gather_ms);
    } else {
        pass_queue_on(n);
    }
}

/* How long a datagram may have been under way that is read now: this process may have been late to read it. */
static uint32_t waited_at_most_ms(const news_t* n, int64_t now_ms) {
    int64_t since_tick_ms = n->tick_before_ms ? now_ms - n->tick_before_ms : 0;
    return since_tick_ms > TRANSIT_MS ? (uint32_t)since_tick_ms : TRANSIT_MS;
}

/* Whether the host stands in another hall. */
static bool is_far(const news_t* n, uint64_t host) {
    const cw_member_t* member = n->members ? cw_members_find(n->members, host) : NULL;
    return !member || strcmp(member->info.hall, n->desc.settings->hall) != 0;
}

static void on_load(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    news_t* n = w->data;
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t message;
    uint32_t waited_ms = waited_at_most_ms(n, clock_ms());
    struct sockaddr_in from;
    socklen_t from_size = sizeof(from);
    ssize_t size = 0;
    while ((size = recvfrom(n->fd, bytes, sizeof(bytes), MSG_DONTWAIT, (struct sockaddr*)&from, &from_size)) > 0) {
        if (cw_load_decode(&message, bytes, (size_t)size, NULL) != CW_OK || message.cluster != n->cluster) {
            n->stats.refused++;
            continue;
        }
        char share[CW_ADDR_TEXT];
        from.sin_port = htons(n->share_port);
        cw_addr_format(&from, share);
        n->stats.in++;
        cw_knowledge_age(&message.knowledge, waited_ms);
        n->desc.on_knowledge(n->desc.user_data, share, is_far(n, message.host), &message.knowledge);
        news_take_marks(n, &message, waited_ms);
        take_message(n, &message);
    }
}

/* -- for others ----------------------------------------------------------- */

void news_set_members(news_t* n, const cw_members_t* members, uint32_t live, uint32_t rank) {
    n->members = members;
    n->members_changed = true;
    n->live = live;
    n->rank = rank;
}

void news_tell_all(news_t* n) {
    n->repeated_ms = 0;
    news_tell_all_marks(n);
}

void news_tick(news_t* n, int64_t now_ms) {
    n->tick_before_ms = n->tick_ms;
    n->tick_ms = now_ms;
    if (now_ms - n->repeated_ms >= n->plan.repeat_ms) {
        repeat_all(n, now_ms);
    }
    news_repeat_marks(n, now_ms);
    news_tell_marks(n);
    bool due = n->dirty_count && now_ms - n->flushed_ms >= SLOW_FLUSH_MS;
    if (due || is_quiet(n, now_ms)) {
        flush(n);
    }
}

news_stats_t news_stats(const news_t* n) {
    return n->stats;
}

/* -- setup ---------------------------------------------------------------- */

static uint16_t port_of(const char* address) {
    struct sockaddr_in addr;
    return cw_addr_parse(address, &addr, NULL) == CW_OK ? ntohs(addr.sin_port) : 0;
}

news_t* news_setup(const news_desc_t* desc, cw_error_t* err) {
    news_t* n = calloc(1, sizeof(*n));
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
    ev_io_init(&n->load_io, on_load, n->fd, EV_READ);
    ev_timer_init(&n->flush_timer, on_flush, FLUSH_MS / MS_PER_S, 0.0);
    ev_timer_init(&n->direct_timer, on_direct, FLUSH_MS / MS_PER_S, 0.0);
    n->load_io.data = n->flush_timer.data = n->direct_timer.data = n;
    ev_io_start(desc->loop, &n->load_io);
    return n;
}

void news_shutdown(news_t* n) {
    ev_io_stop(n->desc.loop, &n->load_io);
    ev_timer_stop(n->desc.loop, &n->flush_timer);
    close(n->fd);
    free(n);
}
